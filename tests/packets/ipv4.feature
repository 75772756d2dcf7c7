Feature: Parsing callers' packets

  Callers control every byte of their packets. A packet that is parsed wrongly
  would be sent to the target of another flow, and an unexpected error would
  stop the packets of all callers. The dpkt library serves as the reference.

  Scenario: Complete packets of TCP and UDP are parsed as dpkt parses them
    Then every complete packet gives the flow and the flags that dpkt parses

  Scenario: Truncated packets are refused
    Then no truncation of a complete packet is parsed

  Scenario: Fragments are refused
    Then no fragment is parsed

  Scenario: Other protocols and versions are refused
    Then only TCP and UDP over IPv4 are parsed

  Scenario: Arbitrary bytes are refused or parsed as dpkt parses them
    Then arbitrary bytes give a packet error or what dpkt parses
