Feature: Links that go silent

  Scenario: A moved link sends from a new port and still hears answers
    Given a link and a peer on loopback
    When the link moves to a new port 3 times, sending each time
    Then the peer saw 4 ports and every answer arrived
    And only the published port and the last one are open

  Scenario: The ports of a link are bounded
    Given a link and a peer on loopback
    When the link moves for 80 peers
    Then 64 ports are open beside the published one

  @virtual
  Scenario Outline: A silent connection is given up, a live one is not
    Given a connection whose peer <behaviour>
    When it is watched for 60 s
    Then it is given up <outcome>

    Examples:
      | behaviour                         | outcome                    |
      | answers                           | never                      |
      | falls silent                      | between 5 s and 10 s       |
      | takes no heartbeat                | between 5 s and 10 s       |
      | answers, while we pause for 30 s  | never                      |
