@virtual
Feature: Agents and balancers agree on who is dead

  Scenario: A killed agent is suspected by its mates, then by every balancer
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    Then its mates suspect "t-2" within 5 s
    And every balancer suspects only "t-2" within 10 s
    And "t-2" stands at the end of chains but in each of them

  Scenario: A restarted agent is cleared and its load forgotten
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    Then no mate knows a load of "t-2"
    When agent "t-2" starts again
    Then no balancer suspects anybody within 10 s
    And its mates saw "t-2" restart once

  Scenario: An agent that restarts before its lease lapses is seen to restart
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And agent "t-2" starts again
    And 3 s of virtual time pass
    Then its mates saw "t-2" restart once
    And no balancer suspected anybody

  Scenario: An agent whose wall clock went back is heard again
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And agent "t-2" starts again with a clock that went back
    And 15 s of virtual time pass
    Then no balancer suspects anybody within 1 s
    And its mates saw "t-2" restart once

  Scenario: A suspicion lapses when nobody renews it
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    Then every balancer suspects only "t-2" within 1 s
    When every agent is killed
    And 180 s of virtual time pass
    Then no balancer suspects anybody within 1 s
    And no balancer keeps a record, and each told that suspicions lapsed

  Scenario: The only mate of a dead agent is believed
    Given 2 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    Then every balancer suspects only "t-2" within 15 s

  Scenario: A cut-off agent has none of its mates suspected
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from all others
    And 30 s of virtual time pass
    Then "t-1" reported nothing
    And every balancer suspects only "t-1" within 1 s
    When the network heals
    Then no balancer suspects anybody within 10 s

  Scenario: An agent that only balancers can reach is not suspected by them
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from the other agents only
    And 30 s of virtual time pass
    Then its mates suspect "t-1" within 1 s
    And no balancer suspected anybody

  Scenario: An agent that only balancers reach again refutes at once
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from all others
    And 20 s of virtual time pass
    And the network heals
    And agent "t-1" is cut off from the other agents only
    Then no balancer suspects anybody within 12 s

  Scenario: A rack that dies at once does not exceed the control budget
    Given 40 agents of one service and 3 balancers that know each other
    When 30 agents are killed at once
    Then no balancer sends more than 3000 bytes in any of the next 30 s, 2000 of them gossip
    And every balancer suspects the killed agents, and only those

  Scenario: Gossip of many deaths stays within its budget and still arrives
    Given 2 agents of one service and 9 balancers that know each other
    When "b-1" learns of 200 dead agents at once
    Then no balancer sends more than 3000 bytes in any of the next 40 s, 2000 of them gossip
    And every balancer suspects 200 agents

  Scenario: Late copies of suspicions do not bring them back
    Given 5 agents of one service and 9 balancers that know each other
    When all datagrams are recorded
    And 5 s of virtual time pass
    And agent "t-2" is killed
    And 10 s of virtual time pass
    And agent "t-2" starts again
    And 10 s of virtual time pass
    And all recorded datagrams arrive once more
    Then no balancer suspects anybody within 1 s
    And its mates saw "t-2" restart once

  Scenario: Late copies of a lapsed suspicion do not bring it back
    Given 5 agents of one service and 9 balancers that know each other
    When all datagrams are recorded
    And agent "t-2" is killed
    And 10 s of virtual time pass
    And every agent is killed
    Then no balancer suspects anybody within 100 s
    When all recorded datagrams among balancers arrive once more
    And 2 s of virtual time pass
    Then no balancer suspects anybody within 1 s

  Scenario Outline: A paused agent that wakes up late accuses nobody
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is paused for 20 s and <reads> what was sent to it
    And 30 s of virtual time pass
    Then "t-1" suspected none of its mates
    And no balancer suspects anybody within 10 s

    Examples:
      | reads |
      | reads |
      | loses |

  Scenario: A paused balancer that wakes up late drops old suspicions
    Given 5 agents of one service and 9 balancers that know each other
    When balancer "b-1" is paused for 60 s
    And agent "t-2" is killed
    And 20 s of virtual time pass
    And agent "t-2" starts again
    And 45 s of virtual time pass
    Then no balancer suspects anybody within 1 s

  Scenario: Each side of a partition only suspects, and the rift heals
    Given 6 agents of one service and 9 balancers that know each other
    When failure domain "a" is cut off from the others
    And 30 s of virtual time pass
    Then every balancer suspects the agents beyond the cut, and only those
    And every target stands in a chain of every balancer
    When the network heals
    Then no balancer suspects anybody within 20 s

  Scenario: Repeated and reordered heartbeats change nothing
    Given 5 agents of one service and 9 balancers that know each other
    When datagrams come 3 times and up to 2 s late
    And 60 s of virtual time pass
    Then no balancer suspected anybody
    And no mate was seen to restart

  Scenario: Heartbeats that cannot be true are refused
    Given 5 agents of one service and 9 balancers that know each other
    When "t-1" sends heartbeats that cannot be true
    Then each of them is refused and changes nothing
