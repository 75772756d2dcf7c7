Feature: The measurements of the packet path

  Scenario: Every packet of the bench goes the whole way
    Given the bench of the packet path
    When its flows open and each sends a packet
    Then every packet was delivered once
