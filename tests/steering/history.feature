@virtual
Feature: The store's history tells whether a live target may be unlisted

  Scenario: Callers of hosts that lost power are told at once by balancers that lost it too
    Given a fleet of 7 hosts and 2 balancers
    And 20 open flows
    And 10 s later another host was listed
    When power is lost by every balancer and host and hosts of new names start
    Then every open flow is reset within 0.3 s of its next request

  Scenario: Callers that ask before the history is read are told once it is
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    And 10 s later another host was listed
    When power is lost by every balancer and host and hosts of new names start
    And the store answers in 0.1 s
    Then every open flow is reset within 0.8 s of its next request

  Scenario: No flow is reset while the history was discarded just before
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    And 10 s later another host was listed
    When every entry lapses and balancer "b2" starts in place of "b1"
    And the store discards its history
    And every open flow asks while the entries come back within 2 s
    Then no caller was reset
    And every open flow gets an answer from its host

  Scenario: A flow whose host only lapsed in the store is found by a balancer that starts later
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When the entry of "h1" has been gone for 6 s and balancer "b2" starts in place of "b1"
    And the callers do nothing for 3 s
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: Callers of hosts whose entries lapsed since are told once all new hosts are there
    Given a fleet of 7 hosts and 2 balancers
    And 20 open flows
    And the store discarded its history
    When power is lost by every balancer and host and cold hosts of new names start
    And the entries of 2 former hosts lapse
    Then every open flow is reset within 0.3 s of its next request

  Scenario: Callers are told once the entries of hosts that never came back have lapsed
    Given a fleet of 7 hosts and 2 balancers
    And 20 open flows
    And the store discarded its history
    When power is lost everywhere and 2 of the hosts are not listed anew
    And the entries of 7 former hosts lapse
    Then every open flow is reset within 0.8 s of its next request

  Scenario: No flow is reset on the word of a few hosts that have just started
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    And the store discarded its history
    When every entry lapses and balancer "b2" starts in place of "b1"
    And host "h1" is cold
    And every open flow asks while the entries come back within 2 s
    Then no caller was reset
    And every open flow gets an answer from its host

  Scenario: Callers are told although most former entries had lapsed before the first read
    Given a fleet of 7 hosts and 2 balancers
    And 20 open flows
    And the store discarded its history
    When power is lost everywhere and the entries of 5 hosts lapse before others start
    Then every open flow is reset within 0.3 s of its next request

  Scenario: No flow of the one host that kept its power is reset while it is not listed
    Given a fleet of 5 hosts and 1 balancers
    And 20 open flows
    And the store discarded its history
    When power is lost everywhere but at "h1", which is listed again after 1.5 s
    Then every open flow of "h1" gets an answer and none is reset

  Scenario: No flow is reset when new hosts are the first after an outage
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    And the store discarded its history
    When 3 cold hosts join, every entry lapses and balancer "b2" starts in place of "b1"
    And every open flow asks while the entries come back within 2 s
    Then no caller was reset
    And every open flow gets an answer from its host

  Scenario: A list of draining hosts alone proves nothing and stops nothing
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    And the store discarded its history
    When power is lost by every balancer and host and cold hosts of new names start
    And every host drains
    Then every open flow is reset within 3 s of its next request

  Scenario: Callers that repeat their data for long make a flow's memory no larger
    Given a fleet of 6 hosts and 1 balancers
    And 1 open flows
    When every host is silent and balancer "b1" is replaced
    And the caller of the flow repeats its data 200 times
    Then no list of agents that a balancer keeps for a flow is longer than 6

  Scenario: The history is read once after each return of the store
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When power is lost by every balancer and host and hosts of new names start
    And every open flow asks for 2 s
    Then the store was asked for its history at most 8 times

  Scenario Outline: Whom the changes name as absent: <case>
    # "+" starts, "=" is listed warm, "~" drains, "-" is removed, "?" unreadable
    Given entries of "a" at address 1 born at 1 s and of "b" at address 2 born at <b> s
    And changes <changes>
    When the history is judged with "<listed>" listed
    Then "<absent>" may live unlisted and "<unknown>" cannot be found
    And the list is <complete>

    Examples: A host that may live, and hosts that do not
      | case                            | b  | changes                  | listed | absent | unknown | complete |
      | nothing ever vanished           | 20 | +a +b                    | a b    |        |         | complete |
      | one lapsed                      | 20 | +a +b -a                 | b      | a      |         | complete |
      | one lapsed and came back        | 20 | +a +b -a =a              | a b    |        |         | complete |
      | one drained and left            | 20 | +a +b ~a -a              | b      |        |         | complete |
      | one lapsed before that was kept | 20 | +b -c                    | a b    |        | c       | open     |
      | only a drain is kept            | 20 | ~a                       | a b    |        |         | open     |
      | only returns of old ones        | 20 | =a =b                    | a b    |        |         | open     |
      | only one start is kept          | 20 | +b                       | a b    |        |         | open     |
      | the starts lie close together   | 5  | +a +b                    | a b    |        |         | open     |
      | an unreadable entry came        | 20 | +a +b ?c -c              | a b    |        |         | complete |
      | a younger host has the address  | 20 | +a +b -a +d@1            | b d    |        |         | complete |
      | an older entry at the address   | 20 | +a +b +e@2 -e            | a b    |        |         | complete |
