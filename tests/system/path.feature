Feature: The whole path of a request

  Scenario: A booking, a diagram and a feed reach targets of their service
    Given both small services behind 3 balancers
    When a caller books "b-1" at "dispatch"
    And a caller downloads the diagram of "catalogue"
    And a caller reads 10 lines of the feed of "dispatch"
    Then every answer is whole and from a target of its own service
    And "b-1" ran once

  Scenario: Lost and reordered packets break nothing
    Given both small services behind 3 balancers
    And the fabric loses 5 % and reorders 5 % of the packets
    When a caller downloads the diagram of "catalogue"
    Then every answer is whole and from a target of its own service

  Scenario: A balancer is killed in mid-download
    Given both small services behind 3 balancers
    When a caller begins to download the diagram of "catalogue"
    And balancer 2 is killed
    And the download ends
    Then every answer is whole and from a target of its own service

  Scenario: A thousand requests are answered whole by their own services
    Given both small services behind 3 balancers
    When 1000 callers book, 20 at a time, at both services
    Then every answer is whole and from a target of its own service
    And each of the bookings ran once
