@virtual
Feature: Displaced flows are found while daemons disagree or die

  Background:
    Given 7 agents and 3 balancers of one service
    When 40 callers open feeds
    And the target of the first feed drains
    And 3 minutes pass

  Scenario: Its record stays until all can know that a target is active again
    When only the agent of the first feed learns that it is active again
    And the feeds go on for 40 seconds
    Then no feed of the drained target was reset

  Scenario: A dead agent in the chain swallows no packets of other owners
    When another agent dies and all daemons suspect it
    And 5 minutes pass
    Then no feed of the drained target was reset
    And each of them has all its answers

  Scenario: A long partition resets no feed that the other side owns
    When balancer 1 and the agent of the first feed are cut off
    And each daemon suspects the agents it cannot reach
    And 5 minutes pass
    And the partition ends
    Then no feed of the drained target was reset
