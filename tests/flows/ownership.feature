@virtual
Feature: Open flows stay with their owner

  A feed is a long-lived connection on which the caller requests one line
  after another. When the target of a feed drains, is removed or its agent
  restarts, the chains of balancers no longer lead to its owner. Unless the
  owner announces such flows, their packets reach other agents, which reset
  the connection or deliver them to a second host.

  Background:
    Given 8 agents and 3 balancers of one service

  Scenario: A feed survives the drain of its target and later versions
    When 20 callers open feeds
    And the target of the first feed drains
    And 10 minutes pass
    Then no feed was reset and all lines ran once
    And no feed is on more than one host

  Scenario: A feed survives the removal of its target from the configuration
    When 20 callers open feeds
    And the target of the first feed is removed
    And 10 minutes pass
    Then no feed was reset and all lines ran once

  Scenario: A restarted agent learns about displaced feeds
    When 20 callers open feeds
    And the target of the first feed drains
    And 5 minutes pass
    And every agent but that of the first feed is replaced
    And 10 minutes pass
    Then no feed of the drained target was reset

  Scenario: A feed survives a drain while messages use other source ports
    When every message is sent from another port
    And 20 callers open feeds
    And the target of the first feed drains
    And 3 minutes pass
    Then no feed was reset and all lines ran once

  Scenario: Owner records expire after the death of their owner
    When 20 callers open feeds
    And the target of the first feed drains
    And 5 minutes pass
    And the agent of the first feed dies
    And 2 minutes pass
    Then no agent stores a record
