@virtual
Feature: Agents place opening flows by load

  Background:
    Given 5 agents and 2 balancers that know each other's loads

  Scenario: Flows go to the less loaded candidates and stay there
    When agent 1 has 50 flows in progress and the others 5
    And 30 callers open connections whose first answers are lost
    Then at most 6 connections lie on agent 1
    And every connection lies on one host and answers

  Scenario: A mate that was heard of too long ago passes a flow on
    When agents 1 and 2 have 50 flows in progress and the others 5
    But agent 2 was last heard of with 0 flows
    And 30 callers open connections whose first answers are lost
    Then at most 6 connections lie on agent 2
    And every connection lies on one host and answers

  Scenario: Agents that each think the others idle do not pass flows around
    When every agent has 50 flows in progress and was heard of with 0
    And 30 callers open connections whose first answers are lost
    Then every connection lies on one host and answers
    And no opening packet went over more than 2 agents after the first

  Scenario: A draining target passes flows to the least loaded candidate
    When agent 5 has 0 flows in progress and the others 50
    And target 1 drains
    And 30 callers open connections whose first answers are lost
    Then at most 0 connections lie on agent 1
    And no opening packet went over more than 1 agent after the first
    And every connection lies on one host and answers

  Scenario: Packets of a placed flow go straight to its owner
    When agent 5 has 0 flows in progress and the others 50
    And 30 callers open connections
    And the callers send their requests
    And 60 seconds pass
    And the callers send their requests
    And 60 seconds pass
    And the callers send their requests
    Then no later packet went over more than 1 agent after the first
    And every connection lies on one host and answers

  Scenario: Agents that remember wrong owners find the right one
    When agent 5 has 0 flows in progress and the others 50
    And 30 callers open connections
    And 10 seconds pass
    And every agent remembers a wrong owner of every connection
    And the callers send their requests
    Then every connection lies on one host and answers

  Scenario: Packets are not sent straight to a suspected agent
    When 1 callers open connections
    And 10 seconds pass
    And every agent remembers a wrong owner of every connection
    Then an agent sends a packet of it straight there
    But not once it suspects the other
