Feature: The message that forwards a packet between processes

  Any host can send bytes to the port of an agent. A malformed message must
  not raise an unexpected error, address an agent outside its chain, or
  disturb the valid messages around it. Decoded headers are cached, so a
  modified message must not change a cached header.

  Scenario: An encoded message is decoded to the same values
    Then every message is decoded to the values that were encoded

  Scenario: Truncated messages are refused
    Then no message that ends within its header is decoded

  Scenario: Mutated messages are refused or decoded
    Then a mutated message gives a packet error or a position within its chain

  Scenario: Arbitrary bytes are refused or decoded
    Then arbitrary bytes give a packet error or a position within their chain

  Scenario: A header over the maximum size is refused
    Then a message whose chain has 200 agents is refused

  Scenario: Modifying a decoded message does not change later ones
    Then a message decodes to the same values after a first result was modified

  Scenario: Malformed datagrams are counted and do not disturb a flow
    Given an agent that owns a flow
    When it gets 200 malformed datagrams between packets of the flow
    Then each packet of the flow is delivered
    And 200 datagrams are counted as malformed
