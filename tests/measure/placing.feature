Feature: Placement is compared with a choice that knows everything

  Scenario: Steering answers nearly as many in time as an omniscient choice
    When placement is measured for every pattern of load
    Then steering has at least 0.97 of the omniscient choice in time
