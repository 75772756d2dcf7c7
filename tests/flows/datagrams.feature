@virtual
Feature: Flows without an opening packet keep their owner

  Background:
    Given 8 agents and 3 balancers of one UDP service

  Scenario: Every packet of a UDP flow reaches one host
    When 30 callers send 20 packets each
    Then each caller's packets reached one host, and none was lost

  Scenario: A UDP flow stays when its target drains
    When 30 callers send 20 packets each
    And the host of the first caller drains
    And 2 minutes pass in silence
    And 30 callers send 20 packets each
    Then each caller's packets reached one host, and none was lost

  Scenario: Balancers know different versions when a UDP flow begins
    When target 1 drains, which only some of the daemons learn
    And 30 callers send 20 packets each
    Then each caller's packets reached one host, and none was lost

  Scenario: A UDP flow begins while its first candidate is suspected
    When balancer 2 suspects target 6
    And balancer 3 suspects target 6
    And 30 callers send 3 packets each
    And 2 minutes pass in silence
    And 30 callers send 3 packets each
    Then each caller's packets reached one host, and none was lost

  Scenario: A packet that follows the first too closely may be lost
    When 30 callers send 2 packets at once
    Then each caller's packets reached one host, one at least
