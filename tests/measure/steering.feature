Feature: The bench of steering measures what it says

  Scenario: Every step is measured
    When the bench of steering is played
    Then each step took time, and each flow some bytes
