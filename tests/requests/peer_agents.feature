Feature: Peer agents accept forwarded requests, once, from instances only

  A gateway forwards a request that its own target did not run. Delayed
  duplicates, forged header fields, forwarding loops and dead connections must
  not make it run twice, and resends must not multiply an overload.

  Scenario: A forwarded request that arrives twice is run once
    Given 2 gateways with 2 slots
    When instance 2 forwards a booking to gateway 1 twice
    Then the responses are "200 whole, 502 unknown"
    And the bookings ran 1 times

  Scenario: A forwarded request that arrives past its deadline is not run
    Given 2 gateways with 2 slots
    When instance 2 forwards a booking to gateway 1 past its deadline
    Then the responses are "503 not-run"
    And the bookings ran 0 times

  Scenario: A forwarded request is neither queued nor forwarded again
    Given 3 gateways with 1 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    And instance 2 forwards a booking to gateway 1
    Then the responses are "503 not-run"
    And the bookings ran 0 times

  Scenario: Hops and deadline of an unknown source address are ignored
    Given 2 gateways with 2 slots
    And target 1 "sheds"
    When an address outside the system forwards a booking to gateway 1
    Then the responses are "200 whole"
    And the bookings ran 1 times

  Scenario: A peer agent that does not respond is avoided by later requests
    Given 3 gateways with 2 slots
    And target 1 "sheds"
    And gateway 2 accepts connections but does not respond
    When a caller books 6 times with 300 ms each at gateway 1
    Then 1 of the responses at most is "504 unknown", the others "200 whole"

  Scenario: Resends stay within the retry budget
    Given 2 gateways with 2 slots
    And target 1 "sheds"
    When a caller books 200 times with 20000 ms each at gateway 1
    Then at most 30 bookings ran
    And refused callers get various Retry-After values from 1 to 3 s

  Scenario: A request that would miss its deadline at a full target is refused
    Given 1 gateway with 1 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    And a caller books 1 times with 50 ms each at gateway 1
    Then the responses are "503 not-run"

  Scenario: The reported load is that of the gateway's slots
    Given 1 gateway with 2 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    Then gateway 1 reports 1 request in progress and 0 queued

  Scenario: A request timeout of 0 ms does not mark the target as down
    Given 1 gateway with 2 slots
    When a caller books 1 times with 0 ms each at gateway 1
    Then the responses are "503 not-run"
    And gateway 1 reports that it takes opening flows
