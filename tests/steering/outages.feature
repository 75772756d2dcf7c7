@virtual
Feature: A balancer follows the store again soon after an outage

  Machines are in touch 4 s after an outage of the store: from then on, what
  was changed 3 s earlier or more is in force. A connection that was open in
  the outage may stay silent for good while new ones work.

  # The time for an answer doubled with each refused call, and a single call
  # waited for 10 s.
  Scenario Outline: Changes after an outage are in force in time: <outage>
    Given a fleet of 3 hosts and 3 balancers
    When the store is away: <outage>
    And version 8 is published and host "h1" drains
    Then 4 s after the outage version 8 is in force and "h1" is draining
    And version 9, published then, is in force within 3 s

    Examples:
      | outage                                          |
      | silent 2.0                                      |
      | silent 4.6                                      |
      | silent 9.0                                      |
      | refused 2.6, silent 2.0                         |
      | refused 0.5, silent 1.0                         |
      | refused 4.0, silent 0.3                         |
      | silent 2.0, refused 2.6                         |
      | silent 4.7, back 0.4, silent 4.7                |
      | silent 4.0, back 0.1, silent 0.1, refused 0.1   |
      | refused 0.4, silent 0.4, refused 0.4, silent 30 |

  # One of three balancers was late after every sixth length or so.
  Scenario Outline: No length of an outage delays changes beyond the time in which they must be in force: <kind>
    Given a fleet of 3 hosts and 3 balancers
    Then after outages of 0.2 s to 12 s, each 0.3 s longer, a change is in force within 4 s: <kind>

    Examples:
      | kind                    |
      | silent                  |
      | refused and then silent |

  # Changes after the return were known, but not the loss of the old connection.
  Scenario Outline: Connections that fall silent for good while new ones work delay changes by less than 4 s: <count> times
    Given a fleet of 3 hosts and 3 balancers
    When the connections to the store fall silent for good <count> times, 0.7 s apart
    And version 8 is published and host "h1" drains
    Then 4 s after the outage version 8 is in force and "h1" is draining

    Examples:
      | count |
      | 1     |
      | 2     |
      | 5     |

  Scenario Outline: A balancer that has noticed an outage hears the store within 1 s of its return: <outage>
    Given a fleet of 3 hosts and 3 balancers
    When the store is away: <outage>
    Then every balancer hears the store within 1 s

    Examples:
      | outage                             |
      | silent 4.6                         |
      | refused 2.6, silent 2.0            |
      | refused 5.0                        |
      | silent 3.0, refused 1.0            |
      | silent 4.7, back 3.0, silent 4.7   |
      | refused 2.0, silent 3, refused 0.7 |

  Scenario: A store whose answers take 3 s is still read after it was silent
    Given a fleet of 3 hosts and 3 balancers
    When the store is away: silent 4.6
    And the store's answers take 3 s from now on, and version 8 is published
    Then version 8 is in force within 9 s

  Scenario: A silent store is called rarely
    Given a fleet of 3 hosts and 1 balancers
    When the store is silent for 60 s
    Then the store had at most 100 calls
    And at most 2 calls waited at a time

  Scenario: A balancer that stops gives up its calls of the store
    Given a fleet of 3 hosts and 1 balancers
    When the store is silent for 6 s
    And balancer "b1" stops
    Then no call of the store waits
