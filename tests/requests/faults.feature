Feature: A booking runs at most once, and "not-run" is always true

  A gateway that sends a request again after a target may have run it makes
  the booking run twice. One that reports "not-run" for such a request makes
  its caller book again.

  Scenario: Each fault at each step of a booking's path
    When a booking meets each of these faults on its path
      | at            | fault                             |
      | target        | none                              |
      | target        | connection refused                |
      | target        | killed after connect              |
      | target        | killed in mid-body                |
      | target        | killed after body, before running |
      | target        | sheds                             |
      | target        | hangs before running              |
      | target        | killed after running              |
      | target        | hangs after running               |
      | target        | answers late                      |
      | target        | answers nonsense                  |
      | target        | killed in mid-answer              |
      | target        | silent in mid-answer, then killed |
      | target        | answers twice                     |
      | target        | answers 102 first                 |
      | mate's target | none                              |
      | mate's target | connection refused                |
      | mate's target | killed after connect              |
      | mate's target | killed in mid-body                |
      | mate's target | killed after body, before running |
      | mate's target | sheds                             |
      | mate's target | hangs before running              |
      | mate's target | killed after running              |
      | mate's target | hangs after running               |
      | mate's target | answers late                      |
      | mate's target | killed in mid-answer              |
      | mate's link   | connection refused                |
      | mate's link   | killed after connect              |
      | mate's link   | killed in mid-body                |
      | mate's link   | killed after body, before running |
      | mate's link   | hangs before running              |
      | mate's link   | hangs after running               |
      | mate's link   | killed in mid-answer              |
      | mate's agent  | killed, request not running       |
      | mate's agent  | killed, request running           |
      | agent         | killed, request not running       |
      | agent         | killed, request running           |
      | caller        | killed, request not running       |
      | caller        | killed, request running           |
    Then no booking ran twice
    And no booking whose caller got "not-run" ran
    And every booking whose caller got "200 whole" ran
    And the results are the table in "docs/requests.md"

  Scenario Outline: An idempotent request is sent again after <fault>
    When a booking with an Idempotency-Key meets "<fault>" at "target"
    Then its caller gets "200 whole"

    Examples:
      | fault                             |
      | killed after connect              |
      | killed in mid-body                |
      | killed after body, before running |
      | killed after running              |
      | sheds                             |
      | answers nonsense                  |
