Feature: Which candidate takes an opening flow

  Background:
    Given an own target of strength 10 with 8 flows

  Scenario Outline: A flow goes to a clearly less loaded mate
    Given a mate "m-1" of strength <strength> with <flows> flows
    Then the flow goes to <choice>

    Examples:
      | strength | flows | choice |
      | 10       | 8     | own    |
      | 10       | 6     | m-1    |
      | 40       | 32    | own    |
      | 40       | 31    | m-1    |
      | 5        | 4     | own    |
      | 5        | 3     | m-1    |

  Scenario: A small difference does not move a flow
    Given a mate "m-1" of strength 100 with 83 flows
    Then the flow goes to own

  Scenario: Of several mates the least loaded gets the flow
    Given a mate "m-1" of strength 10 with 4 flows
    And a mate "m-2" of strength 10 with 2 flows
    And a mate "m-3" of strength 10 with 3 flows
    Then the flow goes to m-2

  Scenario: One heartbeat of an idle mate does not draw all flows
    Given a mate "m-1" of strength 10 with 0 flows
    When 100 flows are placed
    Then at least 1 and at most 8 of them went to "m-1"

  Scenario: A new heartbeat replaces what was passed on since the last
    Given a mate "m-1" of strength 10 with 0 flows
    When 100 flows are placed
    And "m-1" is heard with 0 flows
    Then the flow goes to m-1

  Scenario: A mate whose heartbeats lapsed gets no flow
    Given a mate "m-1" of strength 10 with 0 flows
    When the lease of "m-1" ends
    Then the flow goes to own

  Scenario: A mate that takes no new work gets no flow
    Given a mate "m-1" of strength 10 with 0 flows that takes no new work
    Then the flow goes to own

  Scenario Outline: A load that says nothing draws no flow
    Given a mate "m-1" of strength <strength> with 0 flows
    Then the flow goes to own

    Examples:
      | strength |
      | 0        |
      | -1       |
      | nan      |

  Scenario: A target that takes no new work passes flows on
    Given the own target takes no new work
    And a mate "m-1" of strength 10 with 99 flows
    Then the flow goes to m-1

  Scenario: An idle target keeps its flows
    Given an own target of strength 0.01 with 0 flows
    And a mate "m-1" of strength 10 with 0 flows
    Then the flow goes to own
