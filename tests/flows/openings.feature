@virtual
Feature: Every repeat of an opening packet ends at one host

  Scenario Outline: Balancers and agents know different versions
    Given 8 agents and 3 balancers of one service, seed <seed>
    When target 1 drains, which only some of the daemons learn
    And 40 callers open connections whose first answers are lost
    Then every connection lies on one host and answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: A target joins, which only some of the daemons learn
    Given 8 agents and 3 balancers of one service, seed <seed>
    When target 9 joins, which only some of the daemons learn
    And 40 callers open connections whose first answers are lost
    Then every connection lies on one host and answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Every message comes twice
    Given 8 agents and 3 balancers of one service
    When every message comes twice
    And target 1 drains, which only some of the daemons learn
    And 40 callers open connections whose first answers are lost
    Then every connection lies on one host and answers

  Scenario: One balancer suspects a target that is well
    Given 8 agents and 3 balancers of one service
    When balancer 2 suspects target 1
    And 40 callers open connections whose first answers are lost
    Then every connection lies on one host and answers

  Scenario: A paused agent wakes up with an old opening packet
    Given 8 agents and 3 balancers of one service
    When agent 1 is paused
    And balancer 2 suspects target 1
    And 40 callers open connections
    And 30 seconds pass
    And agent 1 wakes up
    Then every connection lies on one host and answers

  Scenario: Callers on both sides of a partition
    Given 8 agents and 3 balancers of one service
    When balancer 1 and agents 1 to 4 are cut off from the others
    And each balancer suspects the agents it cannot reach
    And 40 callers open connections whose first answers are lost
    And the callers send requests whose first answers are lost
    And the partition ends
    And 60 seconds pass
    Then some connections lie on two hosts
    And no request ran twice, and those answered ran once

  Scenario: A target joins while callers wait long for their first answer
    Given 8 agents and 3 balancers of one service
    When 40 callers open connections
    And every answer is lost, and the callers are silent for 20 seconds
    And target 9 joins meanwhile
    Then every connection lies on one host and answers

  Scenario: A target that leaves passes opening packets on
    Given 8 agents and 3 balancers of one service
    When target 1 drains, which only the agents learn
    And 40 callers open connections
    Then every connection lies on one host and answers
    And none lies on host 1

  Scenario: With every target leaving, new connections are still served
    Given 8 agents and 3 balancers of one service
    When every target drains
    And 40 callers open connections
    Then every connection lies on one host and answers
