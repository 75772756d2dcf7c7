@virtual
Feature: UDP flows, which have no opening packet, keep their owner

  Any packet of a UDP flow may be its first, so an agent that does not know
  the flow cannot tell a new flow from one that another agent owns. If agents
  decide differently, the packets of one caller reach several hosts.

  Background:
    Given 8 agents and 3 balancers of one UDP service

  Scenario: Every packet of a UDP flow reaches one host
    When 30 callers send 20 packets each
    Then all packets of each caller reached one host

  Scenario: A UDP flow stays with its owner when its target drains
    When 30 callers send 20 packets each
    And the host of the first caller drains
    And 2 minutes pass without packets
    And 30 callers send 20 packets each
    Then all packets of each caller reached one host

  Scenario: Balancers have different versions when a UDP flow begins
    When target 1 drains, which only some daemons know
    And 30 callers send 20 packets each
    Then all packets of each caller reached one host

  Scenario: A UDP flow begins while its first candidate is suspected
    When balancer 2 suspects target 6
    And balancer 3 suspects target 6
    And 30 callers send 3 packets each
    And 2 minutes pass without packets
    And 30 callers send 3 packets each
    Then all packets of each caller reached one host

  Scenario: A packet sent right after the first one may be lost
    When 30 callers send 2 packets at once
    Then the packets of each caller reached one host, at least one of them
