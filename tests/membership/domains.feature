@virtual
Feature: A failure domain that dies or is cut off is suspected as a whole

  Scenario: A dead domain is suspected on the evidence of a few agents
    Given 45 agents of one service and 3 balancers that know each other
    When all agents of domain "a" die, of which only 3 are reported
    Then every balancer suspects domain "a" within 15 s
    And the chains of every balancer end with agents of domain "a"
    And balancers pass on nothing about agents of domain "a"
    When 4 agents of domain "a" start again
    Then no balancer suspects a domain within 60 s

  Scenario: A domain of which only a rack died is not suspected
    Given 45 agents of one service and 3 balancers that know each other
    When 12 agents of domain "a" die
    And 60 s of virtual time pass
    Then every balancer suspects the killed agents, and only those
    And no balancer suspected a domain

  Scenario: A balancer that hears nobody suspects no domain
    Given 45 agents of one service and 3 balancers that know each other
    When "b-1" suspects 3 agents of domain "a" and is cut off from all
    And 30 s of virtual time pass
    Then no balancer suspected a domain
