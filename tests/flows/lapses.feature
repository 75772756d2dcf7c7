@virtual
Feature: Displaced flows are found while daemons disagree or fail

  A drained target still owns its open flows, which other agents find only by
  its owner record. The record can be withdrawn too early while daemons have
  different versions, and its packets can be lost at a dead agent or across a
  network partition. In each case open connections would be reset.

  Background:
    Given 7 agents and 3 balancers of one service
    When 40 callers open feeds
    And the target of the first feed drains
    And 3 minutes pass

  Scenario: A reactivated target keeps its record until all daemons can know
    When only the agent of the first feed gets the version that reactivates it
    And the feeds continue for 40 seconds
    Then no feed of the drained target was reset

  Scenario: A dead agent in the chain causes no loss of packets of other owners
    When another agent dies and all daemons suspect it
    And 5 minutes pass
    Then no feed of the drained target was reset
    And each of them got all its answers

  Scenario: A long partition resets no feed owned on the other side
    When balancer 1 and the agent of the first feed are partitioned off
    And each daemon suspects the agents that it cannot reach
    And 5 minutes pass
    And the partition ends
    Then no feed of the drained target was reset
