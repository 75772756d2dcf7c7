@virtual
Feature: Opening flows follow the routes in force until a host accepts them

  Guards against opening packets that go to the service that their route has
  left, after the balancer itself has used the newer version.

  # A waiting flow kept the service that it had when its first packet came.
  Scenario Outline: No waiting flow goes to a service that its route has left: <case>
    Given a fleet of 1 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And the host of "dispatch" <state>
    When callers ask for 2 s, and the route leads to "<split>" after 0.5 s
    Then no opening packet went to a service that the version in force did not name
    And every caller that asked after 1.3 s was answered by "catalogue"
    And no flow waited longer than 0.2 s after the version came into force

    Examples: Why they wait, and the change
      | case        | state                              | split                   |
      | busy host   | is 50 times slower than the others | catalogue 1             |
      | weight of 0 | is 50 times slower than the others | dispatch 0, catalogue 1 |
      | silent host | is silent                          | catalogue 1             |

  # A host that restarts takes the copy for a new flow.
  Scenario: No copy of an opening packet goes to a service that its route has left
    Given a fleet of 1 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And the host of "dispatch" accepts flows, which no caller sees
    When callers ask for 2 s, and the route leads to "catalogue 1" after 0.5 s
    Then no opening packet went to a service that the version in force did not name
    And every caller that asked after 1.3 s was answered by "catalogue"

  # A waiting flow of a dropped route was placed by the former version.
  Scenario Outline: Waiting flows are reset at once when their route is dropped: <case>
    Given a fleet of 1 hosts and 1 balancers
    And the route leads to "dispatch 1"
    And the host of "dispatch" <state>
    When callers ask for 2 s, and the route leads to "" after 0.5 s
    Then no opening packet went to a service that the version in force did not name
    And no flow waited longer than 0.02 s after the version came into force

    Examples:
      | case        | state                              |
      | busy host   | is 50 times slower than the others |
      | silent host | is silent                          |

  # The limits of a flow's wait were those of the version that it came by.
  Scenario: Waiting flows follow a shorter timeout of their route
    Given a fleet of 1 hosts and 1 balancers
    And the host of "dispatch" is 50 times slower than the others
    When 20 callers wait and the timeout of their route becomes 0.3 s
    Then no flow waited longer than 0.02 s after the version came into force

  # The second offer of a hedge went by the version of the first one.
  Scenario: A second offer goes to no service that the route has left
    Given a fleet of 3 hosts and a balancer that hedges after 0.02 s
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And the hosts of "dispatch" are silent
    When 4 callers open flows and the route leads to "catalogue 1" 10 ms later
    Then no opening packet went to a service that the version in force did not name
    And 4 flows are open at hosts of "catalogue"
