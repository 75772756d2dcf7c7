@virtual
Feature: Slots, their queue, the retry budget and request bodies

  An overloaded target must not work on requests that will miss their
  deadlines, and resends and retries must not add to the overload.

  Scenario: The request with the earliest deadline gets the next slot
    Given 1 slots of a target that takes 0.1 s for a request
    When requests arrive with deadlines of "1 0.9 0.4 0.7" s
    Then the requests get slots in the order "1 3 4 2"

  Scenario: A request that would miss its deadline is refused at once
    Given 1 slots of a target that takes 0.1 s for a request
    When requests arrive with deadlines of "1 1 0.15" s
    Then request 3 is refused after 0 s
    And the requests get slots in the order "1 2"

  Scenario: A request that an earlier deadline displaces is refused at once
    Given 1 slots of a target that takes 0.1 s for a request
    When requests arrive with deadlines of "1 0.28 0.22" s
    Then request 2 is refused after 0 s
    And the requests get slots in the order "1 3"

  Scenario: A request that exceeds the queue limit is refused at once
    Given 2 slots of a target that takes 1 s for a request
    When requests arrive with deadlines of "90 90 90 90 90 90" s
    Then request 5 is refused after 0 s
    And request 6 is refused after 0 s
    And the requests get slots in the order "1 2 3 4"

  Scenario: A request queued at a hanging target is refused at its deadline
    Given 1 slots of a target that takes 1 s for a request
    And the target now takes 1000 s
    When requests arrive with deadlines of "10 9" s
    Then request 2 is refused after 9 s

  Scenario: An idle target gets a request whatever its mean service time
    Given 1 slots of a target that takes 1000 s for a request
    And the target now takes 1 s
    When requests arrive with deadlines of "10" s
    Then the requests get slots in the order "1"

  Scenario: A queued request whose caller disconnects holds no slot
    Given 1 slots of a target that takes 0.1 s for a request
    When requests arrive with deadlines of "1 0.9 1" s
    And the caller of request 2 disconnects after 0.05 s
    Then 1 request is queued
    And the requests get slots in the order "1 3"
    And no slot is in use in the end

  Scenario: A long response frees its slot, up to the limit on streams
    Given 1 slots of a target that takes 1000 s for a request
    When 1901 requests become streams one after the other
    Then 1900 streams are open and 1 request is in its slot

  Scenario: The measured service time replaces the initial one
    Given 2 slots of a target that takes 4 s for a request
    And the target now takes 1 s
    When 60 requests arrive one after the other
    Then the rate is within 1 % of 2 requests a second

  Scenario Outline: Retry-After is at least the backlog, and spread
    When 1000 callers are refused with a backlog of <backlog> s
    Then their Retry-After values are all those from <least> to <most> s

    Examples:
      | backlog | least | most |
      | 0       | 2     | 3    |
      | 4       | 5     | 12   |
      | 1000    | 60    | 60   |

  Scenario Outline: Resends stay within the retry budget: <requests> requests
    When each of <requests> requests asks for 3 resends
    Then <resends> resends are allowed

    Examples:
      | requests | resends |
      | 1        | 3       |
      | 100      | 19      |
      | 10000    | 1009    |

  Scenario: Request identifiers are held until the deadline, up to a limit
    When identifiers are admitted at these times
      | at  | identifier | deadline | answer  |
      | 0   | a          | 10       | taken   |
      | 5   | a          | 10       | unknown |
      | 10  | a          | 10       | not run |
      | 11  | a          | 20       | taken   |
      | 11  | b          | 1000     | not run |
    Then each outcome is as in the table
    And after 65536 more of them none is admitted until their deadline

  Scenario Outline: A body that stalls or is too large ends its request
    When a body arrives in chunks after "<parts>" s of "<size>" bytes each
    Then reading it ends after <seconds> s with "<result>"

    Examples: parts are the seconds before each chunk
      | parts     | size    | seconds | result                  |
      | 0 1 9.9   | 100     | 10.9    | 300 bytes, kept         |
      | 0 1 10.1  | 100     | 11      | 408                     |
      | 0 0 0     | 60000   | 0       | 180000 bytes, not kept  |
      | 0 0 0     | 6000000 | 0       | 413                     |
