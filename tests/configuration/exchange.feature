@virtual
Feature: Versions reach every balancer and never go back

  Background:
    Given a platform with 20 services
    And 24 balancers in 3 failure domains with version 1 in force

  Scenario: A change is in force everywhere within 9 seconds
    When 5 % of the datagrams are lost
    Then each of 20 changes is in force everywhere within 9 seconds
    And only 2 balancers of each domain called the platform

  Scenario: The platform is down for an hour
    When the platform is down for 3600 seconds
    And 3 balancers restart meanwhile
    Then those serve version 1 within 9 seconds, learned from peers
    And nobody called the platform more than 1500 times in that hour
    And version 2 is in force everywhere within 15 seconds of its return

  Scenario: The platform is stale for longer
    When version 2 is in force and the platform then serves version 1
    And 6 balancers restart one after the other within 5400 seconds
    Then every balancer serves version 2 and no life ever went back

  Scenario: Half the fleet is cut off and healed
    When half of the balancers are cut off from the others and the platform
    And version 2 is published
    Then it is in force on the connected side within 9 seconds
    And the others go on with version 1
    And it is in force everywhere within 9 seconds of the healing

  Scenario: Every reader of a domain dies at once
    When the other domains are cut off
    And both readers of the domain die
    Then version 2 is in force in that domain within 16 seconds

  Scenario: A paused process wakes with an old version
    When a balancer is paused while versions 2 to 6 come into force
    And it wakes up and is told how late it is
    Then it serves nothing until it has version 6
    And no other balancer went back

  Scenario: A restarted process takes the highest of its peers
    When the platform is stale at version 1 and only one peer has version 2
    And a balancer that reaches just that peer restarts
    Then it serves version 2, never version 1

  Scenario: A balancer that the list leaves out stays while it is heard
    When a list comes that leaves out every other balancer
    Then a change is in force everywhere within 9 seconds

  Scenario: A seen version is fetched at once
    When version 2 is in force on one balancer only, and pushes are lost
    And a packet with version 2 reaches another balancer
    Then that balancer has it within 2 seconds
    And a false version 99 makes it call 4 peers and no more

  Scenario: A delta that does not fit is dropped and the whole read again
    When a balancer gets a delta for version 2 with a wrong value in it
    Then it drops that and soon has version 2 as the platform has it
