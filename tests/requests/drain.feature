Feature: Draining a target or stopping its agent truncates no response

  Callers keep connections open. So a target that leaves still receives
  requests over them: these must run on another target, and what is in
  progress must end before connections are closed.

  Scenario: A draining target gets no new requests over an open connection
    Given 2 gateways with 2 slots
    When a caller books over a new persistent connection to gateway 1
    And target 1 is draining
    And the caller books over the same connection
    Then the responses on the connection are "200 whole, 200 whole"
    And the targets ran "1 1" bookings
    And the last response has "Connection: close"

  Scenario: A stopping gateway forwards new requests to a peer agent
    Given 2 gateways with 2 slots
    When a caller books over a new persistent connection to gateway 1
    And gateway 1 begins to stop
    And the caller books over the same connection
    Then the responses on the connection are "200 whole, 200 whole"
    And the targets ran "1 1" bookings
    And the last response has "Connection: close"
    And gateway 1 reports that it takes no opening flows
    And gateway 1 stops

  Scenario Outline: A request in progress is completed when <change>
    Given 2 gateways with 2 slots
    And target 1 "answers late"
    When a caller starts a booking over a new persistent connection to gateway 1
    And <change>
    Then the responses on the connection are "200 whole"
    And the targets ran "1 0" bookings
    And the last response has "Connection: close"

    Examples:
      | change                  |
      | target 1 is draining    |
      | gateway 1 begins to stop |

  Scenario: Requests in progress are cut only at the operator's stop timeout
    Given 1 gateway with 2 slots
    And target 1 "hangs after running"
    When a caller starts a booking over a new persistent connection to gateway 1
    And gateway 1 begins to stop with a bound of 0.1 s
    Then gateway 1 stops
    And the responses on the connection are "connection closed"

  Scenario: SIGTERM to every agent of a service truncates no download
    Given both small services behind 2 balancers
    When a caller begins to download the diagram of "catalogue"
    And every agent of "catalogue" receives SIGTERM
    And the download ends
    Then every answer is whole and from a target of its own service
    And every stopped agent exits with 0

  Scenario: A draining target gets no new requests after 3 s, end to end
    Given both small services behind 2 balancers
    When callers of "dispatch" hold open connections to every target
    And target "dispatch-1" of "dispatch" is published as draining
    And the system runs for 3 s
    And each of these callers and 12 new ones book at "dispatch"
    Then each of these bookings ran once, and none at "dispatch-1"

  Scenario: A booking runs at most once when its agent is killed
    Given both small services behind 2 balancers
    When the agent of "catalogue-1" of "catalogue" is killed during a booking
    Then that booking ran at most once

  Scenario: A stalled upload ends at the operator's stop timeout
    Given 1 gateway with 2 slots
    And target 1 "reads no body"
    When a caller uploads a body that is never read at gateway 1
    And the system runs for 1 s
    And gateway 1 begins to stop with a bound of 0.1 s
    Then gateway 1 stops within 5 s
