Feature: A planned stop cuts off nothing

  Scenario: A balancer is stopped in mid-download
    Given both small services behind 3 balancers
    When a caller begins to download the diagram of "catalogue"
    And "balancer-2" is asked to stop
    And the download ends
    Then it ended with exit code 0
    And every answer is whole and from a target of its own service

  Scenario: The agent of an open feed is stopped
    Given both small services behind 2 balancers
    When a caller begins to read 100 lines of the feed of "catalogue"
    And the agent that owns the feed is asked to stop
    And 100 callers book, 10 at a time, at both services
    And the feed ends
    Then it ended with exit code 0
    And every answer is whole and from a target of its own service
    And no booking ran at the target that stops

  Scenario: The agent of an open flow of kind packet is stopped
    Given the small services as packets behind 2 balancers
    When a caller begins to read 100 lines of the feed of "catalogue"
    And the agent that owns the feed is asked to stop
    And the feed ends
    Then it ended with exit code 0
    And every answer is whole and from a target of its own service
