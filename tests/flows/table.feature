Feature: The table of owned flows

  The table must drop idle and closed flows, or it fills up and new callers
  are refused, and must keep active ones, or open connections are reset. A
  scan of the whole table in one step would delay all packets of the agent.

  Scenario: An idle flow expires and an active one does not
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And 4000 seconds pass by its clock
    And flow 2 is touched
    And 4000 seconds pass by its clock
    Then it owns only flow 2
    When all flows that are due are checked
    Then it holds 1 flow

  Scenario: A closing flow expires early, but not while packets arrive
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And flows 1 and 2 close
    And 50 seconds pass by its clock
    And flow 2 is touched
    And 50 seconds pass by its clock
    Then it owns only flow 2
    And it counts 0 open flows
    When 100 seconds pass by its clock
    And all flows that are due are checked
    Then it holds 0 flows

  Scenario: A flow that opens again is no longer closing
    Given a flow table with room for 100 flows
    When flows 1 and 2 are touched
    And flow 2 closes and opens again
    And 1000 seconds pass by its clock
    And all flows that are due are checked
    Then it counts 2 open flows

  Scenario: No step scans the whole table
    Given a flow table with room for 5000 flows
    When 5000 flows are touched
    And 9000 seconds pass by its clock
    Then one step removes at most 100 flows
    And it holds 4900 flows

  Scenario: The counts are right after any sequence of operations
    Given a flow table with room for 100 flows
    Then its counts are right after any sequence of operations

  @virtual
  Scenario: A full table keeps its flows and refuses new ones
    Given 2 agents and 1 balancers of one service
    And each agent has room for 3 flows
    When 8 callers open connections
    And the callers send their requests
    Then 6 connections get answers and 2 get none
    And the agents counted "flow table full"
