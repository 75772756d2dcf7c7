@virtual
Feature: Processes change the source port of a path that drops datagrams
  A device between two hosts may drop all datagrams of one pair of addresses
  and ports for good, while it lets other pairs pass. Without another source
  port the two processes would take each other for dead.

  Scenario Outline: Two agents that no longer receive heartbeats change ports
    Given 3 agents of one service and 3 balancers that know each other
    When the network drops <what> between the ports of "t-1" and "t-2"
    And 20 s of virtual time pass
    Then "t-1" and "t-2" receive heartbeats again, from new ports only
    And no balancer suspected an agent

    Examples:
      | what                         |
      | all datagrams                |
      | datagrams from the first one |

  Scenario: A balancer reaches an agent again from a new port
    Given 3 agents of one service and 3 balancers that know each other
    When the network drops all datagrams between the ports of "b-1" and "t-2"
    And 20 s of virtual time pass
    Then a packet that "b-1" sends reaches "t-2"
    And "b-1" sends to "t-1" from its published port

  Scenario: A dead peer agent does not use up source ports
    Given 3 agents of one service and 3 balancers that know each other
    When agent "t-2" is killed
    And 600 s of virtual time pass
    Then each process opened at most 15 ports, and uses one per peer
