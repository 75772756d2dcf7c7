@virtual
Feature: The owner of a flow is looked up at other agents

  Background:
    Given an agent that looks up flows at two others, one of which owns them

  # One lost datagram made the flow ownerless, and it was accepted again.
  Scenario Outline: The owner is found though <message> is lost
    When <message> is lost
    And the agent looks up a flow
    Then it learns the owner

    Examples:
      | message                        |
      | the first query to the owner   |
      | the first answer of the owner  |

  Scenario: Only agents that have not answered are asked again
    When the first query to the owner is lost
    And the agent looks up a flow
    Then it sent 2 queries to the owner and 1 to the other agent

  Scenario: A lookup ends in time although an agent never answers
    When every query to the owner is lost
    And the agent looks up a flow
    Then it learns within 0.1 s that there is no owner
    And it sent 2 queries to the owner and 1 to the other agent
