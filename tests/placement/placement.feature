@virtual
Feature: Agents place new flows by load

  Agents may forward a new flow to a less loaded peer agent, and callers
  repeat the opening packet (the TCP SYN). If agents act on different or
  outdated loads, repeats could reach different hosts, packets could be
  forwarded in circles, or a placed flow could lose the way to its owner.

  Background:
    Given 5 agents and 2 balancers that know each other's loads

  Scenario: New flows go to the less loaded candidates and stay there
    When agent 1 has 50 flows in progress and the others 5
    And 30 callers open connections whose first answers are lost
    Then at most 6 connections are on agent 1
    And every connection is on one host and gets its answers

  Scenario: An agent that gets a flow because of an outdated load forwards it
    When agents 1 and 2 have 50 flows in progress and the others 5
    But agent 2 last reported 0 flows
    And 30 callers open connections whose first answers are lost
    Then at most 6 connections are on agent 2
    And every connection is on one host and gets its answers

  Scenario: Agents with outdated loads do not forward in circles
    When every agent has 50 flows in progress but last reported 0
    And 30 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers
    And no opening packet was forwarded to more than 2 agents after the first

  Scenario: A draining target hands flows to the least loaded candidate
    When agent 5 has 0 flows in progress and the others 50
    And target 1 drains
    And 30 callers open connections whose first answers are lost
    Then at most 0 connections are on agent 1
    And no opening packet was forwarded to more than 1 agent after the first
    And every connection is on one host and gets its answers

  Scenario: Later packets of a placed flow are sent directly to its owner
    When agent 5 has 0 flows in progress and the others 50
    And 30 callers open connections
    And the callers send their requests
    And 60 seconds pass
    And the callers send their requests
    And 60 seconds pass
    And the callers send their requests
    Then no later packet was forwarded to more than 1 agent after the first
    And every connection is on one host and gets its answers

  Scenario: Agents that remember a wrong owner still find the right one
    When agent 5 has 0 flows in progress and the others 50
    And 30 callers open connections
    And 10 seconds pass
    And every agent remembers a wrong owner of every connection
    And the callers send their requests
    Then every connection is on one host and gets its answers

  Scenario: Packets are not sent directly to a suspected agent
    When 1 callers open connections
    And 10 seconds pass
    And every agent remembers a wrong owner of every connection
    Then an agent sends a packet of it directly to the remembered agent
    But not once it suspects the remembered agent
