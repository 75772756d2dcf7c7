Feature: Every default has one value

  Scenario: No default is defined twice
    Given the table of default values
    Then each of its names is defined once
