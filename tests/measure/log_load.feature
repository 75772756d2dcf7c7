Feature: The cost of logs is measured at full load

  Scenario: Logs that nobody reads and no logs are compared with logs
    When the cost of logs is measured for 1 s in each mode
    Then flows were served in each mode
    And only logs that are read were received
