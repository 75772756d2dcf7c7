@virtual
Feature: Versions are read whole or not at all

  Background:
    Given a platform with 3 services
    And a reader that took version 1

  Scenario: Changes of other services leave a service's history alone
    When "s-0" is changed 1 time and "s-1" 9 times, all read
    Then 1 replaced state of "s-0" and 4 of "s-1" are listed
    And none is listed 61 seconds later

  Scenario: A read that fails on the way leaves everything as before
    When "s-0" and "s-1" are changed but the second of them cannot be read
    Then the read fails and version 1 is in force unchanged
    And the next read brings version 2 as the platform has it

  Scenario Outline: A version with <fault> is refused whole and read once
    When a patch with <fault> is published beside a change of "s-0"
    And the reader watches for 600 seconds
    Then version 1 is in force unchanged
    And version 2 is shown as refused at "<path>"
    And the platform was called at most 30 times in that time
    And a good version 3 is taken

    Examples:
      | fault             | path                               |
      | a negative weight | services/s-2.targets[0].weight     |
      | a shared entry    | services/s-2.entry                 |

  # RecursionError or OverflowError ended the task that reads the platform.
  Scenario Outline: A published value that is <fault> is refused with a reason
    Then a service that is <fault> is refused at "<path>"

    Examples:
      | fault                       | path                           |
      | nested 900 deep             | services/s-1                   |
      | nested 2,000 deep           | services/s-1                   |
      | of a weight of 400 digits   | services/s-1.targets[0].weight |
      | of a weight nested 900 deep | services/s-1.targets[0].weight |

  Scenario Outline: An index <fault> is refused with a reason
    Then an index <fault> is refused

    Examples:
      | fault                        |
      | nested 2,000 deep            |
      | with a version of 400 digits |

  Scenario Outline: Values newer or older than the index make no mixture
    When the platform serves <values> of another version than its index once
    Then the reader ends with a version exactly as it was published

    Examples:
      | values   |
      | shards   |
      | services |

  Scenario: A later patch from an outdated version is refused
    When two operators patch version 1 at the same time
    Then one patch is refused and the reader ends with the other

  Scenario: A first read takes few calls
    Given a platform with 1600 services
    When another reader reads them all
    Then it made at most 129 calls and holds what the platform has

  Scenario: A platform that answers watches too early is not called often
    Given a platform that answers every watch at once
    When the reader watches for 600 seconds
    Then the platform was called at most 200 times in that time
