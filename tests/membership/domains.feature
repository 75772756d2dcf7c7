@virtual
Feature: A failure domain that dies or is cut off is suspected as a whole
  A failing domain silences more agents at once than gossip can carry records
  for. A balancer that needed a record for each agent would go on sending
  packets to dead ones.

  Scenario: A dead domain is suspected on the evidence of a few agents
    Given 45 agents of one service and 3 balancers that know each other
    When all agents of domain "a" are killed and only 3 of them are reported
    Then every balancer suspects domain "a" within 15 s
    And the chains of every balancer end with agents of domain "a"
    And balancers gossip no records of agents of domain "a"
    When 4 agents of domain "a" start again
    Then no balancer suspects a domain within 60 s

  Scenario: A domain in which a single rack died is not suspected
    Given 45 agents of one service and 3 balancers that know each other
    When 12 agents of domain "a" are killed
    And 60 s of virtual time pass
    Then every balancer suspects the killed agents, and only those
    And no balancer suspected a domain

  Scenario: A balancer that receives no heartbeats suspects no domain
    Given 45 agents of one service and 3 balancers that know each other
    When "b-1" suspects 3 agents of domain "a" and is cut off from all others
    And 30 s of virtual time pass
    Then no balancer suspected a domain
