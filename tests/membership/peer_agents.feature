@virtual
Feature: Which agents count as mates

  Scenario: An agent that left the configuration is heard while it speaks
    Given 5 agents of one service and 3 balancers that know each other
    When agent "t-2" leaves the configuration
    And 150 s of virtual time pass
    Then "t-1" and "t-2" still know each other's load
    When agent "t-2" is killed
    And 100 s of virtual time pass
    Then "t-1" has forgotten "t-2"

  Scenario: An agent that was added is expected at once
    Given 5 agents of one service and 3 balancers that know each other
    When agent "t-2" is killed
    And 20 s of virtual time pass
    And agent "t-1" starts anew
    Then "t-1" suspects "t-2" within 5 s

  Scenario: Heartbeats of another service or of too many agents are not kept
    Given 5 agents of one service and 3 balancers that know each other
    When "t-1" hears 200 agents, half of them of another service
    Then it keeps at most 64 mates, all of its own service
