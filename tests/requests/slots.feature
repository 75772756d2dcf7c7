@virtual
Feature: Slots, the queue before them and what refused callers are told

  Scenario: The most urgent request is next
    Given 1 slots of a target that takes 0.1 s for a request
    When requests come with deadlines of "1 0.9 0.4 0.7" s
    Then they begin in the order "1 3 4 2"

  Scenario: A request that would miss its deadline is refused at once
    Given 1 slots of a target that takes 0.1 s for a request
    When requests come with deadlines of "1 1 0.15" s
    Then request 3 is refused after 0 s
    And they begin in the order "1 2"

  Scenario: A request that a more urgent one displaces is refused at once
    Given 1 slots of a target that takes 0.1 s for a request
    When requests come with deadlines of "1 0.28 0.22" s
    Then request 2 is refused after 0 s
    And they begin in the order "1 3"

  Scenario: The queue is short
    Given 2 slots of a target that takes 1 s for a request
    When requests come with deadlines of "90 90 90 90 90 90" s
    Then request 5 is refused after 0 s
    And request 6 is refused after 0 s
    And they begin in the order "1 2 3 4"

  Scenario: A request that waits for a hanging target is refused in the end
    Given 1 slots of a target that takes 1 s for a request
    And the target now takes 1000 s
    When requests come with deadlines of "10 9" s
    Then request 2 is refused after 9 s

  Scenario: An idle target is tried whatever it last measured
    Given 1 slots of a target that takes 1000 s for a request
    And the target now takes 1 s
    When requests come with deadlines of "10" s
    Then they begin in the order "1"

  Scenario: A caller that leaves the queue takes no slot with it
    Given 1 slots of a target that takes 0.1 s for a request
    When requests come with deadlines of "1 0.9 1" s
    And request 2 leaves after 0.05 s
    Then 1 request waits
    And they begin in the order "1 3"
    And no slot is in use in the end

  Scenario: A long answer frees its slot within the bound on streams
    Given 1 slots of a target that takes 1000 s for a request
    When 1901 requests become streams one after the other
    Then 1900 streams are open and 1 request is in its slot

  Scenario: The measured rate replaces the published weight
    Given 2 slots of a target that takes 4 s for a request
    And the target now takes 1 s
    When 60 requests come one after the other
    Then the rate is within 1 % of 2 requests a second

  Scenario Outline: Refused callers come back when there is room, spread out
    When 1000 callers are refused with <backlog> s of work at hand
    Then they are told <least> to <most> s, each of these times at least once

    Examples:
      | backlog | least | most |
      | 0       | 2     | 3    |
      | 4       | 5     | 12   |
      | 1000    | 60    | 60   |

  Scenario Outline: Resends stay within the budget: <requests> requests
    When each of <requests> requests asks for 3 resends
    Then <resends> resends are allowed

    Examples:
      | requests | resends |
      | 1        | 3       |
      | 100      | 19      |
      | 10000    | 1009    |

  Scenario: Identifiers are remembered until the deadline, within a bound
    When identifiers are admitted at these times
      | at  | identifier | deadline | answer  |
      | 0   | a          | 10       | taken   |
      | 5   | a          | 10       | unknown |
      | 10  | a          | 10       | not run |
      | 11  | a          | 20       | taken   |
      | 11  | b          | 1000     | not run |
    Then each answer is as the table says
    And 65536 more of them leave room for none until their deadline

  Scenario Outline: A body that stops coming gives its request up
    When a body comes as "<parts>" of "<size>" bytes
    Then reading it ends after <seconds> s with "<result>"

    Examples: parts are the seconds before each
      | parts     | size    | seconds | result                  |
      | 0 1 9.9   | 100     | 10.9    | 300 bytes, kept         |
      | 0 1 10.1  | 100     | 11      | 408                     |
      | 0 0 0     | 60000   | 0       | 180000 bytes, not kept  |
      | 0 0 0     | 6000000 | 0       | 413                     |
