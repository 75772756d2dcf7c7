Feature: How strong a target is

  Scenario: Strength is learned from the work that ended
    Given a target of 4 slots that is assumed to end 1 work a second
    When 50 works of 0.2 s end
    Then its strength is between 19.9 and 20.1

  Scenario: Idle periods change nothing
    Given a target of 4 slots that is assumed to end 1 work a second
    When 50 works of 0.2 s end
    And its clock moves on by 600 s
    And 50 works of 0.2 s end
    Then its strength is between 19.9 and 20.1

  Scenario: One slow spell changes the strength by a bounded step
    Given a target of 4 slots that is assumed to end 1 work a second
    When 10 works of 0.2 s end
    And its clock moves on by 20 s
    And 50 works of 8 s end
    Then its strength is between 15.9 and 16.1

  Scenario: A lasting change is learned
    Given a target of 4 slots that is assumed to end 1 work a second
    When 50 works of 0.2 s end
    And 30 spells of 10 works of 0.8 s end
    Then its strength is between 4.9 and 5.1

  Scenario: A feed that stays open says nothing of the speed
    Given a target of 4 slots that is assumed to end 1 work a second
    When 50 works of 0.2 s end
    And its clock moves on by 20 s
    And 50 works of 3600 s end
    Then its strength is between 19.9 and 20.1

  Scenario: A new target reports its strength little by little
    Given a target of 4 slots that is assumed to end 20 works a second
    Then it reports between 1.9 and 2.1
    When its clock moves on by 15 s
    Then it reports between 11.9 and 12.1
    When its clock moves on by 15 s
    Then it reports between 19.9 and 20.1

  Scenario: An unmeasured target takes its scale from its mates
    Given mates of weight 1 that end 15, 18 and 300 works a second
    Then a target of weight 2 is assumed to end 36 works a second

  Scenario: Without mates the published weight is the strength
    Given no mate was heard
    Then a target of weight 2 is assumed to end 2 works a second

  Scenario: A gateway reports what its slots get done
    Given an agent with a gateway of 4 slots, whose mates end 18 a second
    When its clock moves on by 60 s
    Then it reports a strength of 18
    When 10 requests hold a slot for 0.2 s
    Then it reports a strength of 20
    When its slots become 2
    Then it reports a strength of 10
