@virtual
Feature: Flows are found again after their agent forgot them

  Scenario: A restarted agent takes back what its host still holds
    Given 8 agents and 3 balancers of one packet service
    When 20 callers open feeds
    And the agent of the first feed is replaced
    And 10 minutes pass
    Then no feed was reset and all lines ran once
    And no feed lies on more than one host

  Scenario: A target drains and its agent is restarted as well
    Given 8 agents and 3 balancers of one packet service
    When 20 callers open feeds
    And the target of the first feed drains
    And 3 minutes pass
    And the agent of the first feed is replaced
    And 10 minutes pass
    Then no feed was reset and all lines ran once

  Scenario: A dead owner of the same bucket hides no living one
    Given 8 agents and 3 balancers of one service
    When 60 callers open feeds
    And two targets drain that own feeds of the same bucket
    And 2 minutes pass
    And the agent whose record came first dies
    And 1 minutes pass
    Then no feed of the other one was reset and all its lines ran

  Scenario: While versions settle, no flow is reset for want of an owner
    Given 8 agents and 3 balancers of one service
    When the target 1 drains
    And a caller on port 45000 sends on a connection that nobody knows
    Then the caller on port 45000 was not reset
    When 10 seconds pass
    And a caller on port 45001 sends on a connection that nobody knows
    Then the caller on port 45001 was reset

  Scenario: A forged chain leads nowhere
    Given 8 agents and 3 balancers of one service
    When a packet comes whose chain names a stranger
    Then nothing was sent to the stranger
    And agent 1 counted "unknown agent"

  Scenario Outline: Packets that an agent must not deliver
    Given 8 agents and 3 balancers of one service
    When a packet comes that is <fault>
    Then the host of agent 1 got nothing
    And agent 1 counted "<outcome>"

    Examples:
      | fault                | outcome       |
      | of another service   | other service |
      | for another entry    | other entry   |
      | cut short            | malformed     |
      | forwarded too often  | too many hops |
