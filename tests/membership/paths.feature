@virtual
Feature: Work goes on when something between two processes loses track

  Scenario Outline: Two mates that no longer hear each other change ports
    Given 3 agents of one service and 3 balancers that know each other
    When the network drops <what> between the ports of "t-1" and "t-2"
    And 20 s of virtual time pass
    Then "t-1" and "t-2" hear each other, from new ports only
    And no balancer suspected anybody

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

  Scenario: A dead mate is not called from ever more ports
    Given 3 agents of one service and 3 balancers that know each other
    When agent "t-2" is killed
    And 600 s of virtual time pass
    Then each process opened at most 15 ports, and uses one a peer
