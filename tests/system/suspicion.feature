Feature: Agents that die or freeze are avoided, by real processes

  Scenario: New callers are served soon after an agent is killed
    Given both small services behind 3 balancers
    When the agent of "dispatch-3" is killed
    And 12 callers book at "dispatch" at once
    Then each of these bookings ran once, within 10 s
    And every balancer suspects the agent of "dispatch-3" within 10 s
    When the agent of "dispatch-3" is started again
    Then no balancer suspects any agent within 15 s

  Scenario: A frozen agent is avoided and comes back
    Given both small services behind 3 balancers
    When the agent of "dispatch-3" is frozen
    And 12 callers book at "dispatch" at once
    Then each of these bookings ran once, within 10 s
    When the agent of "dispatch-3" goes on
    Then no balancer suspects any agent within 15 s
    And "dispatch-3" takes all its mates for live

  Scenario: A frozen balancer costs callers nothing and suspects nobody
    Given both small services behind 3 balancers
    When balancer 2 is frozen for 5 s
    And 12 callers book at "dispatch" at once
    Then each of these bookings ran once, within 10 s
    And no balancer suspects any agent within 15 s
