Feature: The search for the owner of an open flow

  An agent passes on packets of flows that it does not own. A search must
  not end in a reset while an agent that may own the flow was not asked.

  # A search that ran out of room reset flows whose owner it had not asked.
  Scenario: No flow is reset while the list of its possible owners is cut
    Given an agent of a service of 8 targets
    And 20 agents that left the service own flows of every bucket
    When a caller sends a packet of an unknown flow 30 times
    Then the flow was dropped 30 times for "search cut"
    And each of the 20 owners and 3 candidates got the packet

  Scenario: A flow without an owner is reset once all owners were asked
    Given an agent of a service of 8 targets
    And 4 agents that left the service own flows of every bucket
    When a caller sends a packet of an unknown flow 1 times
    Then the flow was reset

  # The suspicion of an owner ended with its entry, and its flows were reset.
  Scenario: No flow is reset while a removed agent is silent
    Given an agent of a service of 8 targets
    When target 9, which is no candidate, joins and falls silent
    And it is removed from the configuration
    And 20 s pass
    And a caller sends a packet of an unknown flow 1 times
    Then the flow was dropped 1 times for "owner may be cut off"
    When 60 s pass
    And a caller sends a packet of an unknown flow 1 times
    Then the flow was reset at last

  # The record of the 65th owner was refused in silence, and its flows reset.
  Scenario: No flow is reset while the record of an owner was refused
    Given an agent of a service of 8 targets
    And 64 agents that left the service own flows of another bucket
    And 1 agents that left the service own flows of every bucket
    When a caller sends a packet of an unknown flow 1 times
    Then the flow was dropped 1 times for "no owner yet"
    And 1 record was refused for want of room
    When 600 s pass
    And a caller sends a packet of an unknown flow 1 times
    Then the flow was reset at last

  # An agent that started after a removal did not know the owner, passed it
  # over and reset its flows.
  Scenario: No flow is reset after an unknown agent of its chain was passed over
    Given an agent of a service of 8 targets
    When a caller sends a packet whose chain names an agent that is not known
    Then the flow was dropped 1 times for "no owner yet"
    And the unknown agent got nothing
