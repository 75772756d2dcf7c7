Feature: The chain of a flow

  Balancers and agents compute the candidates of a bucket each for itself.
  If two of them got different ones from the same configuration, packets of
  one flow would reach different targets.

  Scenario: Every instance computes the same candidates
    Given a service of 5 targets "t-1" to "t-5" of weight 1
    Then bucket 0 has the candidates "t-1, t-3, t-4, t-2"
    And bucket 1 has the candidates "t-5, t-1, t-3, t-2"
    And bucket 4095 has the candidates "t-1, t-3, t-2, t-5"

  Scenario: Each target gets buckets in proportion to its weight
    Given a service of 5 targets "t-1" to "t-5" of weight 1
    And target "t-1" has weight 4
    Then "t-1" is the first candidate of between 47 % and 53 % of the buckets

  Scenario: Draining a target changes only the buckets of that target
    Given a service of 5 targets "t-1" to "t-5" of weight 1
    When target "t-2" drains
    Then only buckets that had "t-2" as a candidate have other candidates

  Scenario: A suspected target moves to the end of the chain and stays in it
    Given a service of 5 targets "t-1" to "t-5" of weight 1
    When the first candidate of bucket 7 is suspected
    Then it is the last target in the chain of bucket 7
