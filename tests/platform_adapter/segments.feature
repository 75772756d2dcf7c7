Feature: Packets of the platform are decoded and encoded as documented

  A wrong offset, byte order or flag would send packets to the wrong flow or
  caller, and a packet with a wrong length must not stop the daemon.

  Scenario: The documented opening packet is decoded
    Then the documented opening packet gives its flow, entry and sequence

  Scenario: A reset has the documented form
    Then the reset of the documented packet is the documented one

  Scenario: A returned packet is restored
    Then a packet that a host marks and returns is restored byte for byte

  Scenario: Both directions give the same flow
    Then an answer has the flow of the packet that it answers

  Scenario: Truncated packets and those of the wrong length are rejected
    Then every packet with a byte more or less is rejected

  Scenario: Arbitrary bytes are rejected or decoded
    Then arbitrary bytes give a packet error or a segment
