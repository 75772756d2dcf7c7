@virtual
Feature: An instance list that is late or wrong cuts off no instance
  Datagrams are accepted from known addresses only. If a malformed list were
  used, or if an address were dropped as soon as it leaves the list, working
  instances would lose contact.

  Scenario Outline: A malformed list is refused as a whole and the old one stays in use
    Given a list of 3 balancers and 2 agents was read
    When the platform publishes a list whose <key> of an entry is <value>
    Then the list is refused, and the old one is still in use

    Examples:
      | key          | value        |
      | name         | ""           |
      | name         | "b-2"        |
      | role         | "store"      |
      | address      | "10.0.0.999" |
      | address      | null         |
      | data_port    | 0            |
      | data_port    | "7001"       |
      | control_port | 70000        |
      | region       | 5            |
      | domain       | []           |
      | state        | "gone"       |

  Scenario Outline: A value that is not a list is refused
    Given a list of 3 balancers and 2 agents was read
    When the platform publishes <value> in place of the list
    Then the list is refused, and the old one is still in use

    Examples:
      | value       |
      | null        |
      | {"b-1": 1}  |
      | ["b-1"]     |

  Scenario: An address that left the list stays known while it sends datagrams
    Given a list of 3 balancers and 2 agents was read
    When the platform publishes an empty list
    Then "b-1" is known for 10 h if it sends a datagram every hour
    And "b-2" is unknown after 3 h of silence
    And "192.0.2.99" was never known

  Scenario: The number of remembered addresses that left the list is limited
    When 70000 addresses were listed and then removed
    Then at most 65536 of them are remembered

  Scenario: All readers together stay within the platform's rate limit
    Given a list of 3 balancers and 2 agents was read
    Then the list is read again within 10 s
    When a list of 42000 agents was read
    Then 42000 readers read at most 800 lists a second

  Scenario: Reporters of one service agree on balancers in several domains
    Given a list of 30 balancers in 5 failure domains
    Then each agent reports to 3 balancers in 3 domains, its own among them
    And agents of one service in different domains share at least 2 of them
    And no service's reports go to a balancer that is leaving
