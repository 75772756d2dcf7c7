@virtual
Feature: Flows are found again after a restart of their agent

  An agent that restarts has lost its table of flows, although its host still
  holds the connections. Packets must still find the owner of their flow, or
  open connections are reset. Messages that are malformed, forged or meant
  for another service must change nothing.

  Scenario: A restarted agent recovers the flows that its host still holds
    Given 8 agents and 3 balancers of one packet service
    When 20 callers open feeds
    And the agent of the first feed is replaced
    And 10 minutes pass
    Then no feed was reset and all lines ran once
    And no feed is on more than one host

  # One failed read was taken for a host without connections.
  Scenario: No feed is reset while a restarted agent cannot read its host's list
    Given 8 agents and 3 balancers of one packet service
    When 20 callers open feeds
    And the host of the first feed fails to list its connections for 15 seconds
    And the agent of the first feed is replaced
    And 13 seconds pass
    And 2 minutes pass
    Then no host reset a caller
    And no feed was reset and all lines ran once
    And no feed is on more than one host

  Scenario: A target drains and then its agent restarts
    Given 8 agents and 3 balancers of one packet service
    When 20 callers open feeds
    And the target of the first feed drains
    And 3 minutes pass
    And the agent of the first feed is replaced
    And 10 minutes pass
    Then no feed was reset and all lines ran once

  Scenario: A dead owner of a bucket does not hide a live one
    Given 8 agents and 3 balancers of one service
    When 60 callers open feeds
    And two targets with feeds in the same bucket drain
    And 2 minutes pass
    And the agent whose record arrived first dies
    And 1 minutes pass
    Then no feed of the other target was reset and all its lines ran

  Scenario: No flow without an owner is reset while a new version spreads
    Given 8 agents and 3 balancers of one service
    When the target 1 drains
    And a caller on port 45000 sends on a connection that no agent knows
    Then the caller on port 45000 was not reset
    When 10 seconds pass
    And a caller on port 45001 sends on a connection that no agent knows
    Then the caller on port 45001 was reset

  Scenario: Nothing is forwarded to an unknown host in a forged chain
    Given 8 agents and 3 balancers of one service
    When a packet arrives whose chain names an unknown host
    Then nothing was sent to the unknown host
    And agent 1 counted "unknown agent"

  Scenario Outline: Owner records that an agent must refuse
    Given 8 agents and 3 balancers of one service
    When a record arrives that is <fault>
    Then agent 1 stores no record
    And the link of agent 1 counted a malformed datagram

    Examples:
      | fault                  |
      | from another instance  |
      | of another service     |
      | leased for too long    |
      | of a bucket too high   |
      | cut short              |

  Scenario Outline: Packets that an agent must not deliver
    Given 8 agents and 3 balancers of one service
    When a packet arrives that is <fault>
    Then the host of agent 1 got nothing
    And agent 1 counted "<outcome>"

    Examples:
      | fault                | outcome       |
      | of another service   | other service |
      | for another entry    | other entry   |
      | cut short            | malformed     |
      | forwarded too often  | too many hops |
