Feature: The table of owned flows

  Scenario: A silent flow is forgotten, an active one is not
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And 4000 seconds pass by its clock
    And flow 2 is touched
    And 4000 seconds pass by its clock
    Then it owns only flow 2
    When everything due is looked at
    Then it holds 1 flow

  Scenario: A closing flow leaves soon, but not while its caller reads on
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And flows 1 and 2 close
    And 50 seconds pass by its clock
    And flow 2 is touched
    And 50 seconds pass by its clock
    Then it owns only flow 2
    And it counts 0 open flows
    When 100 seconds pass by its clock
    And everything due is looked at
    Then it holds 0 flows

  Scenario: A connection that opens again is no longer closing
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And flow 2 closes and opens again
    And 1000 seconds pass by its clock
    And everything due is looked at
    Then it counts 2 open flows

  Scenario: No step goes over the whole table
    Given a flow table with room for 5000 flows
    When 5000 flows are touched
    And 9000 seconds pass by its clock
    Then one step forgets at most 100 flows
    And it holds 4900 flows

  Scenario: The counts hold whatever happens
    Given a flow table with room for 100 flows
    Then its counts hold after any touches, closes and waits

  @virtual
  Scenario: A full table keeps what it has
    Given 2 agents and 1 balancers of one service
    And each agent has room for 3 flows
    When 8 callers open connections
    And the callers send their requests
    Then 6 connections answer and 2 get no answer
    And the agents counted "flow table full"
