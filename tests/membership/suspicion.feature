@virtual
Feature: Agents and balancers agree on which agents are dead
  A balancer that does not suspect a dead agent sends it packets that get
  lost; one that suspects a live agent moves load away from it for nothing.
  Wrong suspicions arise from partitions, pauses, restarts, clocks that are
  set back, and repeated or delayed datagrams.

  Scenario: A killed agent is suspected by its peer agents, then by every balancer
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    Then its peer agents suspect "t-2" within 5 s
    And every balancer suspects only "t-2" within 10 s
    And "t-2" is the last of each chain that it was part of

  Scenario: A killed agent loses its load, and its suspicion when it restarts
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    Then no peer agent knows a load of "t-2"
    When agent "t-2" starts again
    Then no balancer suspects an agent within 10 s
    And its peer agents saw "t-2" restart once

  Scenario: An agent that restarts before its lease lapses is seen to restart
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And agent "t-2" starts again
    And 3 s of virtual time pass
    Then its peer agents saw "t-2" restart once
    And no balancer suspected an agent

  Scenario: An agent whose wall clock was set back is accepted again
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And agent "t-2" starts again with its clock set back
    And 15 s of virtual time pass
    Then no balancer suspects an agent within 1 s
    And its peer agents saw "t-2" restart once

  Scenario: A suspicion lapses when no agent renews it
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    Then every balancer suspects only "t-2" within 1 s
    When every agent is killed
    And 180 s of virtual time pass
    Then no balancer suspects an agent within 1 s
    And no balancer keeps a record, and each notified subscribers that suspicions lapsed

  Scenario: The report of a dead agent's only peer agent suffices
    Given 2 agents of one service and 9 balancers that know each other
    When agent "t-2" is killed
    Then every balancer suspects only "t-2" within 15 s

  Scenario: A cut-off agent causes no suspicion of its peer agents
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from all others
    And 30 s of virtual time pass
    Then "t-1" sent no reports
    And every balancer suspects only "t-1" within 1 s
    When the network heals
    Then no balancer suspects an agent within 10 s

  Scenario: An agent that only balancers can reach is not suspected by them
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from the other agents only
    And 30 s of virtual time pass
    Then its peer agents suspect "t-1" within 1 s
    And no balancer suspected an agent

  Scenario: An agent that only balancers reach again refutes its suspicion at once
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is cut off from all others
    And 20 s of virtual time pass
    And the network heals
    And agent "t-1" is cut off from the other agents only
    Then no balancer suspects an agent within 12 s

  Scenario: The death of a rack keeps control traffic within its limit
    Given 40 agents of one service and 3 balancers that know each other
    When 30 agents are killed at once
    Then no balancer sends more than 3000 bytes in any of the next 30 s, at most 2000 of them gossip
    And every balancer suspects the killed agents, and only those

  Scenario: Gossip of many deaths stays within its limit and reaches all balancers
    Given 2 agents of one service and 9 balancers that know each other
    When "b-1" learns of 200 dead agents at once
    Then no balancer sends more than 3000 bytes in any of the next 40 s, at most 2000 of them gossip
    And every balancer suspects 200 agents

  Scenario: Delayed copies of messages do not bring back a refuted suspicion
    Given 5 agents of one service and 9 balancers that know each other
    When all datagrams are recorded
    And 5 s of virtual time pass
    And agent "t-2" is killed
    And 10 s of virtual time pass
    And agent "t-2" starts again
    And 10 s of virtual time pass
    And all recorded datagrams arrive once more
    Then no balancer suspects an agent within 1 s
    And its peer agents saw "t-2" restart once

  Scenario: Delayed copies of messages do not bring back a lapsed suspicion
    Given 5 agents of one service and 9 balancers that know each other
    When all datagrams are recorded
    And agent "t-2" is killed
    And 10 s of virtual time pass
    And every agent is killed
    Then no balancer suspects an agent within 100 s
    When all recorded datagrams among balancers arrive once more
    And 2 s of virtual time pass
    Then no balancer suspects an agent within 1 s

  Scenario Outline: An agent that resumes after a pause suspects no peer agent
    Given 5 agents of one service and 9 balancers that know each other
    When agent "t-1" is paused for 20 s and <reads> what was sent to it
    And 30 s of virtual time pass
    Then "t-1" suspected none of its peer agents
    And no balancer suspects an agent within 10 s

    Examples:
      | reads |
      | reads |
      | loses |

  Scenario: A balancer that resumes after a pause drops outdated suspicions
    Given 5 agents of one service and 9 balancers that know each other
    When balancer "b-1" is paused for 60 s
    And agent "t-2" is killed
    And 20 s of virtual time pass
    And agent "t-2" starts again
    And 45 s of virtual time pass
    Then no balancer suspects an agent within 1 s

  Scenario: Each side of a partition suspects the other but keeps it in its chains
    Given 6 agents of one service and 9 balancers that know each other
    When failure domain "a" is cut off from the others
    And 30 s of virtual time pass
    Then every balancer suspects the agents on the other side, and only those
    And every target is part of a chain of every balancer
    When the network heals
    Then no balancer suspects an agent within 20 s

  Scenario: Repeated and reordered heartbeats change nothing
    Given 5 agents of one service and 9 balancers that know each other
    When datagrams arrive 3 times and up to 2 s late
    And 60 s of virtual time pass
    Then no balancer suspected an agent
    And no agent saw a peer agent restart

  Scenario: Heartbeats with invalid values are refused
    Given 5 agents of one service and 9 balancers that know each other
    When "t-1" sends invalid heartbeats
    Then each of them is refused and changes nothing
