Feature: Links whose path goes silent

  A network device may drop one pair of addresses and ports for good, and a
  connection may die without being closed. A link then needs a new source
  port, a connection a timeout; both without leaking sockets.

  Scenario: A moved link sends from a new port and receives the replies
    Given a link and a peer on loopback
    When the link moves to a new port 3 times, sending each time
    Then the peer received from 4 ports and every reply arrived
    And only the published port and the latest one are open

  Scenario: The number of ports of a link is limited
    Given a link and a peer on loopback
    When the link moves for 80 peers
    Then 64 ports are open beside the published one

  @virtual
  Scenario Outline: A silent connection times out, a live one does not
    Given a connection whose peer <behaviour>
    When its keepalive runs for 60 s
    Then it times out <outcome>

    Examples:
      | behaviour                         | outcome                    |
      | answers                           | never                      |
      | falls silent                      | between 5 s and 10 s       |
      | takes no heartbeat                | between 5 s and 10 s       |
      | answers, while we pause for 30 s  | never                      |
