Feature: Reading callers' packets

  Scenario: Whole packets of TCP and UDP are read as dpkt reads them
    Then every whole packet gives the flow and the flags that dpkt reads

  Scenario: Truncated packets are refused
    Then no truncation of a whole packet is read

  Scenario: Fragments are refused
    Then no fragment is read

  Scenario: Other protocols and versions are refused
    Then only TCP and UDP over IPv4 are read

  Scenario: Arbitrary bytes are refused or read as dpkt reads them
    Then arbitrary bytes give a packet error or what dpkt reads
