Feature: Drain and stop cut off no request

  Scenario: A leaving target gets no new work over an open connection
    Given 2 gateways with 2 slots
    When a caller books over a kept connection to gateway 1
    And target 1 is draining
    And the caller books over the kept connection
    Then the kept connection heard "200 whole, 200 whole"
    And the targets ran "1 1" bookings
    And the last answer says that the connection closes

  Scenario: A stopping gateway passes new work over open connections to a mate
    Given 2 gateways with 2 slots
    When a caller books over a kept connection to gateway 1
    And gateway 1 begins to stop
    And the caller books over the kept connection
    Then the kept connection heard "200 whole, 200 whole"
    And the targets ran "1 1" bookings
    And the last answer says that the connection closes
    And gateway 1 takes no opening flows
    And gateway 1 stops

  Scenario Outline: A request in progress ends by itself when <change>
    Given 2 gateways with 2 slots
    And target 1 "answers late"
    When a caller begins a booking over a kept connection to gateway 1
    And <change>
    Then the kept connection heard "200 whole"
    And the targets ran "1 0" bookings
    And the last answer says that the connection closes

    Examples:
      | change                  |
      | target 1 is draining    |
      | gateway 1 begins to stop |

  Scenario: Only the operator's bound cuts a stop short
    Given 1 gateway with 2 slots
    And target 1 "hangs after running"
    When a caller begins a booking over a kept connection to gateway 1
    And gateway 1 begins to stop with a bound of 0.1 s
    Then gateway 1 stops
    And the kept connection heard "connection closed"

  Scenario: SIGTERM to every agent of a service cuts off no download
    Given both small services behind 2 balancers
    When a caller begins to download the diagram of "catalogue"
    And every agent of "catalogue" is told to stop
    And the download ends
    Then every answer is whole and from a target of its own service
    And every stopped agent exits with 0

  Scenario: A leaving target gets no new work within 3 s, through the system
    Given both small services behind 2 balancers
    When callers of "dispatch" keep connections to every target
    And target "dispatch-1" of "dispatch" is published as draining
    And the system has 3 s to notice
    And each of them and 12 others book at "dispatch"
    Then no booking since then ran at "dispatch-1", and all ran once

  Scenario: A killed agent leaves its booking run at most once
    Given both small services behind 2 balancers
    When a caller's booking at "catalogue-1" of "catalogue" is cut by a kill
    Then that booking ran at most once

  Scenario: A stuck upload does not outlast the operator's bound
    Given 1 gateway with 2 slots
    And target 1 "reads no body"
    When a caller uploads without end to gateway 1
    And the system has 1 s to notice
    And gateway 1 begins to stop with a bound of 0.1 s
    Then gateway 1 stops within 5 s
