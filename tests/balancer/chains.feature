Feature: Chains that a balancer keeps

  Background:
    Given services "s-1" and "s-2" of 7 targets with all their chains kept

  Scenario: A change of one service leaves the chains of others alone
    When target 1 of "s-1" drains
    Then the kept chains of "s-2" are used on

  Scenario: Chains of a changed service have its new candidates at once
    When target 1 of "s-1" drains
    Then no chain of "s-1" begins with target 1
    And target 1 is in chains of "s-1"

  Scenario: A replaced candidate leaves the kept chains in time
    When target 1 of "s-1" drains
    And 59 s go by
    Then target 1 is in chains of "s-1"
    When 2 s go by
    Then target 1 is in no chain of "s-1"

  Scenario: Changes of other services push no candidate out early
    When target 1 of "s-1" drains
    And 20 versions change only "s-2", one a second
    Then target 1 is in chains of "s-1"

  Scenario: A suspicion holds at once and no longer than it lasts
    When target 1 of "s-1" is suspected
    Then no chain of "s-1" begins with target 1
    And the kept chains of "s-2" are used on
    When the suspicion lapses
    Then some chain of "s-1" begins with target 1

  Scenario: There are never more chains than allowed
    When 100 services get a packet for each of 50 buckets, and 1000 may stay
    Then no more than 1000 chains are ever kept
    And the chains used last are still kept

  Scenario: A service without targets is told apart
    When the targets of "s-1" are taken away
    Then its packets are counted as "no target" and none is forwarded
