Feature: Mates take requests, once, from instances only

  Scenario: A forwarded request that comes twice is run once
    Given 2 gateways with 2 slots
    When instance 2 forwards a booking to gateway 1 twice
    Then the answers are "200 whole, 502 unknown"
    And the bookings ran 1 times

  Scenario: A forwarded request that comes past its deadline is not run
    Given 2 gateways with 2 slots
    When instance 2 forwards a booking to gateway 1 past its deadline
    Then the answers are "503 not-run"
    And the bookings ran 0 times

  Scenario: A forwarded request is passed no further and does not wait
    Given 3 gateways with 1 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    And instance 2 forwards a booking to gateway 1
    Then the answers are "503 not-run"
    And the bookings ran 0 times

  Scenario: What an outsider says of hops and deadlines means nothing
    Given 2 gateways with 2 slots
    And target 1 "sheds"
    When an outsider forwards a booking to gateway 1
    Then the answers are "200 whole"
    And the bookings ran 1 times

  Scenario: A mate's link that went silent is not used for the next request
    Given 3 gateways with 2 slots
    And target 1 "sheds"
    And the link to gateway 2 is silent
    When a caller books 6 times with 300 ms each at gateway 1
    Then 1 of the answers at most is "504 unknown", the others "200 whole"

  Scenario: Resends stay within the budget
    Given 2 gateways with 2 slots
    And target 1 "sheds"
    When a caller books 200 times with 20000 ms each at gateway 1
    Then at most 30 bookings ran
    And refused callers are told different times of 1 to 3 s

  Scenario: A full target's gateway refuses at once what would be late
    Given 1 gateway with 1 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    And a caller books 1 times with 50 ms each at gateway 1
    Then the answers are "503 not-run"

  Scenario: The load that mates hear of is the gateway's own
    Given 1 gateway with 2 slots
    And target 1 "hangs before running"
    When a caller falls silent after "GET /first HTTP/1.1~~"
    And a request hangs at target 1
    Then gateway 1 tells 1 in progress and 0 queued

  Scenario: A caller without patience does not make the target look down
    Given 1 gateway with 2 slots
    When a caller books 1 times with 0 ms each at gateway 1
    Then the answers are "503 not-run"
    And gateway 1 takes opening flows
