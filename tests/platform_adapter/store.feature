Feature: The platform's store over HTTP

  Background:
    Given a stand-in of the store with 3 hosts and a configuration

  Scenario: Everything is read, page by page
    When the store answers 2 items a page
    And the client reads everything
    Then 3 hosts and version 7 with its routes are there

  Scenario: A watch returns what changed
    When a host drains while the client watches
    Then the watch tells that it drains

  Scenario: A discarded history is told apart
    When the store answers a watch with 410
    Then the client says that history is lost

  Scenario Outline: A store that refuses is an error, not an empty answer
    When the store answers every call with <status>
    Then the client says that the store failed

    Examples:
      | status |
      | 429    |
      | 503    |
      | 500    |
      | 404    |

  Scenario: A silent connection ends with an error in time
    When the store does not answer at all
    Then the client says that the store failed
    And that took less than 3 s

  Scenario Outline: An entry that cannot be read names no host, the others hold
    When an entry is <entry>
    And the client reads everything
    Then 3 hosts and version 7 with its routes are there
    And the change of the odd entry has a reason and no host

    Examples:
      | entry                              |
      | not base64                         |
      | not JSON                           |
      | a list                             |
      | without an address                 |
      | with a state that is not known     |
      | with slots of text                 |
      | with an address that is none       |

  Scenario: Arbitrary values are read or refused with a reason
    Then arbitrary JSON values give a host, a configuration or a store error

  Scenario: A configuration that cannot be read is told, hosts hold
    When the configuration has a route without a port
    And the client reads everything
    Then 3 hosts are there and the fault names the route's field

  Scenario: The client reads what happened to entries
    Given a stand-in of the store with 3 hosts and a configuration
    When a host drains, another is removed and the client recalls the changes
    Then it has the first entry, the drain and the removal
    When the history is discarded and the client recalls the changes
    Then the history is lost
