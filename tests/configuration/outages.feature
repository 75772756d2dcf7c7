@virtual
Feature: The platform is down or stale for long

  Background:
    Given a platform with 20 services
    And 6 balancers in 2 domains with version 1 in force

  Scenario: The platform is down for an hour
    When the platform is down for 3600 seconds
    And 3 balancers restart meanwhile
    Then those serve version 1 within 9 seconds, learned from peers
    And nobody called the platform more than 1500 times in that hour
    And version 2 is in force 15 seconds after its return

  Scenario: The platform is stale for longer
    When version 2 is in force and the platform then serves version 1
    And 6 balancers restart in turn within 5400 seconds
    Then every balancer serves version 2 and no life ever went back
