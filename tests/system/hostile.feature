Feature: Packets that are not ours disturb nothing

  Scenario: Garbage is dropped, counted and harms nobody
    Given both small services behind 2 balancers
    When a caller begins to download the diagram of "catalogue"
    And an unlisted instance sends garbage to every daemon
    And a listed instance sends garbage to every daemon
    And the fabric delivers garbage to every balancer
    And the download ends
    Then every answer is whole and from a target of its own service
    And every daemon has counted datagrams dropped as "foreign"
    And every daemon has counted datagrams dropped as "malformed"
    And every balancer has counted packets as "malformed"
    And every balancer has counted packets as "no service"
