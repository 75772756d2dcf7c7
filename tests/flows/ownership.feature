@virtual
Feature: Flows stay with their owner

  Background:
    Given 8 agents and 3 balancers of one service

  Scenario: A feed survives the drain of its target and what comes after
    When 20 callers open feeds
    And the target of the first feed drains
    And 10 minutes pass
    Then no feed was reset and all lines ran once
    And no feed lies on more than one host

  Scenario: A feed survives when its target is removed from the configuration
    When 20 callers open feeds
    And the target of the first feed is removed
    And 10 minutes pass
    Then no feed was reset and all lines ran once

  Scenario: An agent that starts again learns of displaced feeds
    When 20 callers open feeds
    And the target of the first feed drains
    And 5 minutes pass
    And every agent but that of the first feed is replaced
    And 10 minutes pass
    Then no feed of the drained target was reset

  Scenario: Records lapse with their owner
    When 20 callers open feeds
    And the target of the first feed drains
    And 5 minutes pass
    And the agent of the first feed dies
    And 2 minutes pass
    Then no agent holds a record
