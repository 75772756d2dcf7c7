Feature: The message that carries a packet between processes

  Scenario: What was encoded is decoded
    Then every message is decoded as it was encoded

  Scenario: Truncated messages are refused
    Then no message that ends within its header is read

  Scenario: Mutated messages are refused or read
    Then a mutated message gives a packet error or a position in its chain

  Scenario: Arbitrary bytes are refused or read
    Then arbitrary bytes give a packet error or a position in their chain

  Scenario: A long header is refused
    Then a message whose chain has 200 agents is refused

  Scenario: Changing a decoded message changes no later one
    Then a message decoded twice is the same after the first was changed

  Scenario: Bad datagrams are counted and disturb nothing
    Given an agent that owns a flow
    When it gets 200 bad datagrams between packets of the flow
    Then each packet of the flow is delivered
    And 200 datagrams are counted as malformed
