@virtual
Feature: All repeats of an opening packet reach one host

  A caller repeats the opening packet of a connection (the TCP SYN) until it
  gets an answer. If two copies are accepted on different hosts, the caller
  talks to one and the other keeps a dead connection, or a request runs
  twice. This can come about when balancers and agents have different
  configurations, when messages are lost, duplicated or late, when a healthy
  target is suspected, and when an agent is paused or partitioned.

  Scenario Outline: Balancers and agents know different versions
    Given 8 agents and 3 balancers of one service, seed <seed>
    When target 1 drains, which only some daemons know
    And 40 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: A target joins and only some daemons know it
    Given 8 agents and 3 balancers of one service, seed <seed>
    When target 9 joins, which only some daemons know
    And 40 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Every message is duplicated
    Given 8 agents and 3 balancers of one service
    When every message is duplicated
    And target 1 drains, which only some daemons know
    And 40 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers

  Scenario: Every message is sent from another port
    Given 8 agents and 3 balancers of one service
    When every message is sent from another port
    And target 1 drains, which only some daemons know
    And 40 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers

  Scenario: One balancer suspects a healthy target
    Given 8 agents and 3 balancers of one service
    When balancer 2 suspects target 1
    And 40 callers open connections whose first answers are lost
    Then every connection is on one host and gets its answers

  Scenario: A paused agent resumes and handles an old opening packet
    Given 8 agents and 3 balancers of one service
    When agent 1 is paused
    And balancer 2 suspects target 1
    And 40 callers open connections
    And 30 seconds pass
    And agent 1 resumes
    Then every connection is on one host and gets its answers

  Scenario: Callers on both sides of a partition
    Given 8 agents and 3 balancers of one service
    When balancer 1 and agents 1 to 4 are partitioned from the others
    And each balancer suspects the agents that it cannot reach
    And 40 callers open connections whose first answers are lost
    And the callers send requests whose first answers are lost
    And the partition ends
    And 60 seconds pass
    Then some connections are on two hosts
    And no request ran twice, and answered requests ran once

  Scenario: A target joins while callers wait for a late first answer
    Given 8 agents and 3 balancers of one service
    When 40 callers open connections
    And all answers are lost, and callers send nothing for 20 seconds
    And target 9 joins in that time
    Then every connection is on one host and gets its answers

  Scenario: The agent of a draining target forwards opening packets
    Given 8 agents and 3 balancers of one service
    When target 1 drains, which only the agents know
    And 40 callers open connections
    Then every connection is on one host and gets its answers
    And none is on host 1

  Scenario: New connections are served even if every target drains
    Given 8 agents and 3 balancers of one service
    When every target drains
    And 40 callers open connections
    Then every connection is on one host and gets its answers
