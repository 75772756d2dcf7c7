Feature: Measured capacity of a target

  Agents share new work by the capacity that each reports for its target.
  A wrong estimate overloads a target or leaves it idle. Idle time, one slow
  period, requests that stay open for long and a new target without any
  measurement can all lead to a wrong estimate.

  Scenario: Capacity is estimated from completed requests
    Given a target of 4 slots with an assumed capacity of 1 request a second
    When 50 requests of 0.2 s complete
    Then its capacity is between 19.9 and 20.1

  Scenario: Idle periods do not change the estimate
    Given a target of 4 slots with an assumed capacity of 1 request a second
    When 50 requests of 0.2 s complete
    And its clock advances by 600 s
    And 50 requests of 0.2 s complete
    Then its capacity is between 19.9 and 20.1

  Scenario: One slow period changes the capacity by a bounded step
    Given a target of 4 slots with an assumed capacity of 1 request a second
    When 10 requests of 0.2 s complete
    And its clock advances by 20 s
    And 50 requests of 8 s complete
    Then its capacity is between 15.9 and 16.1

  Scenario: The estimate follows a lasting change
    Given a target of 4 slots with an assumed capacity of 1 request a second
    When 50 requests of 0.2 s complete
    And 30 periods of 10 requests of 0.8 s complete
    Then its capacity is between 4.9 and 5.1

  Scenario: Requests that stay open for long are not measured
    Given a target of 4 slots with an assumed capacity of 1 request a second
    When 50 requests of 0.2 s complete
    And its clock advances by 20 s
    And 50 requests of 3600 s complete
    Then its capacity is between 19.9 and 20.1

  Scenario: A new target reports its capacity gradually (slow start)
    Given a target of 4 slots with an assumed capacity of 20 requests a second
    Then it reports a capacity between 1.9 and 2.1
    When its clock advances by 15 s
    Then it reports a capacity between 11.9 and 12.1
    When its clock advances by 15 s
    Then it reports a capacity between 19.9 and 20.1

  Scenario: An unmeasured target is scaled by the capacity of its peers
    Given peer agents of weight 1 that complete 15, 18 and 300 requests/s
    Then a target of weight 2 has an assumed capacity of 36 a second

  Scenario: Without peer agents the published weight is the capacity
    Given no peer agent has reported a load
    Then a target of weight 2 has an assumed capacity of 2 a second

  Scenario: A gateway reports the request rate of its slots
    Given an agent with a gateway of 4 slots, whose peers complete 18 a second
    When its clock advances by 60 s
    Then it reports a capacity of 18
    When 10 requests hold a slot for 0.2 s
    Then it reports a capacity of 20
    When its slots are limited to 2
    Then it reports a capacity of 10
