Feature: Reading the connections of the own instance

  Scenario: Only open connections at the entry are taken back
    Given the kernel lists these connections
      | local          | remote           | state | family |
      | 203.0.113.1:80 | 198.18.0.1:40000 | 01    | tcp    |
      | 203.0.113.1:80 | 198.18.0.2:40001 | 08    | tcp6   |
      | 203.0.113.1:80 | 198.18.0.3:40002 | 06    | tcp    |
      | 203.0.113.1:81 | 198.18.0.4:40003 | 01    | tcp    |
      | 203.0.113.2:80 | 198.18.0.5:40004 | 01    | tcp6   |
    Then the flows at "203.0.113.1:80" come from "198.18.0.1:40000, 198.18.0.2:40001"

  Scenario: Lines of an unknown form are passed over
    Given the kernel lists a line "0: nonsense FFFF 01"
    And the kernel lists a line "1: 0100007F:zz 0100007F:0050 01"
    And the kernel lists a line "2:"
    Then the flows at "203.0.113.1:80" come from ""

  Scenario: A list that cannot be read is an error
    Given the kernel's list is a folder
    Then reading the flows fails with "cannot read"

  Scenario: No list, no connections
    Given the kernel has no lists
    Then the flows at "203.0.113.1:80" come from ""
