@virtual
Feature: Agents learn their own service from balancers

  Background:
    Given a platform with 20 services
    And 6 balancers in 2 domains with version 1 in force
    And 8 agents with version 1 in force

  Scenario: Each change reaches its agent, each version every agent
    When 10 % of the datagrams are lost
    Then each of 10 changes is in force at every agent within 9 seconds
    And each agent holds its own service only, as the platform has it
    And no agent called the platform

  Scenario: Both balancers of an agent die
    When both balancers that the first agent hears die
    And the agent waits for 30 seconds
    Then it has a change in force within 9 seconds

  Scenario: An agent that hears no balancer reads the platform rarely
    When the agents are cut off from every balancer for 1200 seconds
    Then each agent has version 2 in force after at most 30 calls

  Scenario Outline: A state that was lost or changed is asked for
    When an agent is told of version 2 <how>
    Then it keeps version 1 until it gets the state

    Examples:
      | how                               |
      | without the state of its service  |
      | with a state of another digest    |

  Scenario: A state with a fault is refused
    When an agent gets a faulty state of its service as version 2
    Then it keeps version 1 and shows version 2 as refused

  Scenario: A paused agent wakes with an old version
    When an agent is paused while version 2 comes into force
    Then it serves nothing until it has version 2

  # The task that asks the balancers ended with an error.
  Scenario: An agent that is paused while it waits for balancers serves later
    When an agent is paused a second time before it serves again
    Then it serves version 1 within 15 s
