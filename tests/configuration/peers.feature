Feature: Peers hand out versions over HTTP

  Scenario: A version is asked for and read over a real connection
    Given a balancer that serves version 2 over HTTP
    Then a peer is told version 2, and gets it whole and as a delta
    And it gets nothing after version 2

  Scenario Outline: A peer that hands out nothing is a failed peer
    Given a balancer that serves version 2 over HTTP
    When it <fault>
    Then a fetch after version <after> fails with "<text>"

    Examples:
      | fault             | after | text       |
      | has no bytes left | 0     | 503        |
      | stops             | 0     | balancer-1 |

  Scenario: A version that is no number is refused
    Given a balancer that serves version 2 over HTTP
    Then a fetch after version -1 fails with "400"
