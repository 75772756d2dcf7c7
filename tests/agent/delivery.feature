Feature: An agent learns of versions from packets

  @virtual
  Scenario: A packet that carries a later version has it fetched
    Given 3 agents and 2 balancers of one service
    When only the balancers learn a later version
    And 2 callers open feeds
    Then the agents were told of version 2 and of no other
