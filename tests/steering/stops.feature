@virtual
Feature: Planned stops under load lose no request

  A release stops every balancer and agent in turn. A daemon that exits while
  packets still reach it, or before its host has answered, loses requests or
  makes callers repeat them.

  Scenario: Every balancer is stopped in turn while hosts are nearly full
    Given a fleet of 4 hosts and 3 balancers
    When 2400 callers ask within 8 s while every balancer is stopped and replaced
    Then every caller has the answer to its own request
    And no host ran a request twice
    And no caller waited longer than 0.19 s

  Scenario: Every agent is stopped in turn while hosts are half full
    Given a fleet of 4 hosts and 3 balancers
    When 1600 callers ask within 8 s while every agent is stopped and replaced
    Then every caller has the answer to its own request
    And no host ran a request twice
    And no caller waited longer than 0.19 s
    And no caller repeated its request

  Scenario: Open flows are served while balancers and agents are stopped
    Given a fleet of 4 hosts and 3 balancers
    And 20 open flows
    When 1200 callers ask within 8 s while every balancer is stopped and replaced
    And 1200 callers ask within 8 s while every agent is stopped and replaced
    Then every open flow gets an answer from its host
    And no caller was reset
