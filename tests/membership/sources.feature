@virtual
Feature: The instance list may be late or wrong and cuts nobody off

  Scenario Outline: A malformed list is refused whole and the old one stays
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

  Scenario Outline: What is no list at all is refused
    Given a list of 3 balancers and 2 agents was read
    When the platform publishes <value> in place of the list
    Then the list is refused, and the old one is still in use

    Examples:
      | value       |
      | null        |
      | {"b-1": 1}  |
      | ["b-1"]     |

  Scenario: Who left every list is heard for as long as it speaks
    Given a list of 3 balancers and 2 agents was read
    When the platform publishes an empty list
    Then "b-1" is known for 10 h if it speaks once an hour
    And "b-2" is unknown after 3 h of silence
    And "192.0.2.99" was never known

  Scenario: The memory of those who left is bounded
    When 70000 addresses were listed and then left
    Then at most 65536 of them are kept

  Scenario: All readers together stay within the platform's rate
    Given a list of 3 balancers and 2 agents was read
    Then it is read again within 10 s
    When a list of 42000 agents was read
    Then 42000 readers read at most 800 lists a second

  Scenario: Reporters of one service agree on balancers in several domains
    Given a list of 30 balancers in 5 failure domains
    Then each agent reports to 3 balancers in 3 domains, its own among them
    And agents of one service in different domains share at least 2 of them
    And no service's reports go to a balancer that is leaving
