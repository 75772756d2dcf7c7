Feature: The platform is down while processes start

  Scenario: A restarted balancer learns the version from its peers
    Given both small services behind 3 balancers
    When the platform goes down
    And "balancer-2" is killed and started again
    Then "balancer-2" serves at version 1
    When the other balancers die
    And 20 callers book, 5 at a time, at both services
    Then every answer is whole and from a target of its own service
