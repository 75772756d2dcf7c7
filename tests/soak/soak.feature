Feature: The daemons keep their promises under random faults

  Scenario Outline: A short soak of fixed seeds keeps every promise
    When seeds <first> and <second> of the soak are played together
    Then no promise was broken
    And at least half of the requests were answered

    Examples:
      | first | second |
      | 0     | 1      |
      | 2     | 5      |

  Scenario: Two restores of the store break no promise
    When seed 161 of the soak is played
    Then no promise was broken

  Scenario Outline: Seed <seed> failed once: <cause>
    When seed <seed> of the soak is played
    Then no promise was broken

    Examples:
      | seed | cause                                                     |
      | 10   | a new balancer reset a flow whose host was not yet listed |

  @virtual
  Scenario Outline: The soak notices <what>
    Given an empty record of promises
    When <what> is seen
    Then 1 promises were broken

    Examples:
      | what                                             |
      | an answer to the request of another caller       |
      | a reset of a flow that its live host holds       |
      | a new flow at a host that drains for 3.5 s       |
      | a new flow at the old service 3.5 s after a move |
      | a new flow at a service that never had the entry |
      | a request that ran at two hosts                  |
      | a process that ended with 1 when told to stop    |
      | a process that took 7 s to stop                  |
      | a process that took more memory than there is    |
      | a new flow at a host that had drained before an outage, 4.5 s after it |
      | a new flow at the old service 4.5 s after an outage in which it moved  |

  @virtual
  Scenario Outline: The soak allows <what>
    Given an empty record of promises
    When <what> is seen
    Then 0 promises were broken

    Examples:
      | what                                             |
      | a new flow at a host that drains for 2.5 s       |
      | a new flow at the old service 2.5 s after a move |
      | a late new flow after the store was away         |
      | a new flow at a host that had drained before an outage, 3.5 s after it |
      | a new flow at the old service 3.5 s after an outage in which it moved  |

  @virtual
  Scenario: A seed always draws the same plan
    Then the plan of seed 7 is the same when drawn again
    And the plans of 400 seeds have every kind of fault
