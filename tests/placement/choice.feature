Feature: Choice of the candidate for a new flow by load

  An agent forwards a new flow to a peer agent whose target is clearly less
  loaded. Reported loads are as old as the last heartbeat, so without care
  flows would swing between targets, or all go to one that was idle when it
  last reported.

  Background:
    Given an own target of capacity 10 with 8 flows

  Scenario Outline: A flow goes to a clearly less loaded peer agent
    Given a peer agent "m-1" of capacity <capacity> with <flows> flows
    Then the flow goes to <choice>

    Examples:
      | capacity | flows | choice |
      | 10       | 8     | own    |
      | 10       | 6     | m-1    |
      | 40       | 32    | own    |
      | 40       | 31    | m-1    |
      | 5        | 4     | own    |
      | 5        | 3     | m-1    |

  Scenario: A small difference does not move a flow
    Given a peer agent "m-1" of capacity 100 with 83 flows
    Then the flow goes to own

  Scenario: The least loaded of several peer agents gets the flow
    Given a peer agent "m-1" of capacity 10 with 4 flows
    And a peer agent "m-2" of capacity 10 with 2 flows
    And a peer agent "m-3" of capacity 10 with 3 flows
    Then the flow goes to m-2

  Scenario: One heartbeat of an idle peer agent does not attract all flows
    Given a peer agent "m-1" of capacity 10 with 0 flows
    When 100 flows are placed
    Then at least 1 and at most 8 of them went to "m-1"

  Scenario: A new heartbeat resets the count of flows forwarded since the last
    Given a peer agent "m-1" of capacity 10 with 0 flows
    When 100 flows are placed
    And "m-1" reports 0 flows
    Then the flow goes to m-1

  Scenario: A peer agent whose lease has expired gets no flow
    Given a peer agent "m-1" of capacity 10 with 0 flows
    When the lease of "m-1" expires
    Then the flow goes to own

  Scenario: A peer agent that takes no new work gets no flow
    Given a peer agent "m-1" of capacity 10 with 0 flows that takes no new work
    Then the flow goes to own

  Scenario Outline: A load without a positive capacity attracts no flow
    Given a peer agent "m-1" of capacity <capacity> with 0 flows
    Then the flow goes to own

    Examples:
      | capacity |
      | 0        |
      | -1       |
      | nan      |

  Scenario: A target that takes no new work forwards flows
    Given the own target takes no new work
    And a peer agent "m-1" of capacity 10 with 99 flows
    Then the flow goes to m-1

  Scenario: An idle target keeps its flows
    Given an own target of capacity 0.01 with 0 flows
    And a peer agent "m-1" of capacity 10 with 0 flows
    Then the flow goes to own
