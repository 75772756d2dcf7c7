@virtual
Feature: Which agents an agent tracks as peer agents
  An agent that left the configuration may still own flows, so it must stay
  tracked while it sends heartbeats. An agent that is dead when another one
  starts never sends a first heartbeat and must be noticed nevertheless.

  Scenario: An agent that left the configuration is tracked while it sends heartbeats
    Given 5 agents of one service and 3 balancers that know each other
    When agent "t-2" leaves the configuration
    And 150 s of virtual time pass
    Then "t-1" and "t-2" still know each other's load
    When agent "t-2" is killed
    And 100 s of virtual time pass
    Then "t-1" no longer tracks "t-2"

  Scenario: A newly started agent notices a peer agent that is dead already
    Given 5 agents of one service and 3 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    And agent "t-1" is restarted
    Then "t-1" suspects "t-2" within 5 s

  Scenario: Agents of another service or beyond the limit are not tracked
    Given 5 agents of one service and 3 balancers that know each other
    When "t-1" receives heartbeats of 200 agents, half of them of another service
    Then it tracks at most 64 peer agents, all of its own service
