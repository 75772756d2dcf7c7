@virtual
Feature: An open flow stays with the service that took it

  Guards against flows that are reset although their hosts live, since a
  balancer without state of them asked only the targets of the service that
  the weights in force give.

  # Only targets of the service by today's weights were asked.
  Scenario Outline: Flows are found after the split of their route has changed: <case>
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1, catalogue 1"
    And 24 open flows
    When the route leads to "<split>"
    And balancer "b1" is replaced
    Then hosts of both services hold flows
    And every open flow gets an answer from its host
    And no caller was reset

    Examples: Splits after the flows were opened
      | case              | split                   |
      | shifted           | dispatch 1, catalogue 9 |
      | weight of 0       | dispatch 1, catalogue 0 |
      | one service left  | dispatch 1              |
      | the other service | catalogue 1             |

  Scenario: Flows are found by a balancer that starts while the split changes
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 24 open flows
    When balancer "b1" is replaced and the route leads to "catalogue 1" 3 ms later
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario Outline: Flows move to a balancer that has followed the store for long: <case>
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    When 12 flows open through "b2"
    And 62 s in which the flows are used
    And the route leads to "dispatch 1"
    And <later>
    And the route leads to "dispatch 3"
    And only balancer "b1" is in rotation
    Then every open flow gets an answer from its host
    And no caller was reset
    And the cache of "b1" names the service of each flow's host

    Examples: Between the change and the next request
      | case                      | later                                         |
      | at once                   | the route leads to "dispatch 1, catalogue 0"  |
      | service still configured  | 62 s in which the flows are used              |
      | store out of reach        | 62 s in which the store is down               |
      | second change             | the route leads to "dispatch 2"               |

  # The host's agent declined the flow's packets as those of another service.
  Scenario: A flow stays with the host that accepts it after a restart of its balancer and a change
    Given a fleet of 1 hosts and 1 balancers
    And 1 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    When a caller opens a flow whose acceptance by "h1" is under way while "b1" restarts and the route leads to "catalogue 1"
    Then every open flow gets an answer from its host
    And no caller was reset

  # A watch tells of the newest version only.
  Scenario: Flows are found that a version opened which their new balancer never read
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 62 s in which the flows are used
    When balancer "b1" has read the history and makes a pause of 9 s after the route leads to "dispatch 2"
    And the route leads to "catalogue 1"
    And 12 flows open through "b2"
    And the route leads to "dispatch 1"
    And balancer "b1" has called the store
    And only balancer "b1" is in rotation
    Then every open flow gets an answer from its host
    And no caller was reset

  # A new version was no reason to look at undecided flows again.
  Scenario Outline: Flows are kept that a version opened which their new balancer has yet to read: <ms> ms
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 62 s in which the flows are used
    When balancer "b1" has read the history and makes a pause of 9 s after the route leads to "dispatch 2"
    And the route leads to "catalogue 1"
    And 12 flows open through "b2"
    And <ms> ms pass
    And only balancer "b1" is in rotation
    Then every open flow gets an answer from its host within 0.15 s
    And no caller was reset

    Examples: Times of the next request, against the turns of the balancer
      | ms |
      | 1  |
      | 6  |
      | 11 |
      | 16 |

  # A packet that came just after the new version was read reset its flow.
  Scenario: Flows are kept whose packets keep coming while their new balancer reads the version that opened them
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 62 s in which the flows are used
    When balancer "b1" has read the history and makes a pause of 9 s after the route leads to "dispatch 2"
    And the route leads to "catalogue 1"
    And 12 flows open through "b2"
    And only balancer "b1" is in rotation
    And each caller sends 40 packets 1 ms apart
    Then no caller was reset
    And every open flow gets an answer from its host

  Scenario: Flows of a service that a balancer never knew are found once it has been cut off from the store
    Given a fleet of 6 hosts and 2 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    When 12 flows open through "b2"
    And the route leads to "dispatch 1"
    And balancer "b3" takes the place of "b2" in rotation
    And only balancer "b2" is in rotation
    And 62 s in which the flows are used
    And 3 s in which the store is down
    And only balancer "b3" is in rotation
    Then every open flow gets an answer from its host
    And no caller was reset

  # The store restored from a copy named services that no version in force did.
  Scenario: Flows are found that were opened by a version of the copy of a restored store
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    And a copy of the store
    And the route leads to "dispatch 1" and no other service is configured
    When balancer "b1" is replaced
    And the store is restored from the copy
    And balancer "b2" takes the place of "b1" in rotation
    And 12 flows open through "b2"
    And 62 s in which the flows are used
    And only balancer "b1" is in rotation
    Then every open flow gets an answer from its host
    And no caller was reset

  # Only the vanished targets of the present service were asked.
  Scenario Outline: Flows of a service that left are kept while its hosts <end>: <ends>
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    And 24 open flows
    When the route leads to "dispatch 1"
    And the hosts of "catalogue" <end> and their entries are removed
    And balancer "b1" <ends>
    Then every open flow gets an answer from its host
    And no caller was reset

    Examples: What becomes of the hosts and of the balancer
      | end    | ends              |
      | drain  | is replaced       |
      | drain  | forgets its flows |
      | vanish | is replaced       |
      | vanish | forgets its flows |

  # A balancer that started after a service had left took its hosts for no
  # targets and reset the flows that they held.
  Scenario Outline: Flows of a service that left the configuration are found by a balancer that starts later: <case>
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    And 24 open flows
    When the route leads to "dispatch 1" and no other service is configured
    And <meanwhile>
    And balancer "b1" is replaced
    And <later>
    Then every open flow gets an answer from its host
    And no caller was reset
    And 12 new flows are opened on hosts of "dispatch"

    Examples: Before and after the restart of the balancer
      | case                | meanwhile                                                | later                                                    |
      | at once             | 0 ms pass                                                | 0 ms pass                                                |
      | history discarded   | the store forgets its history                            | 0 ms pass                                                |
      | entries written     | the hosts of "catalogue" write their entries again       | the hosts of "catalogue" write their entries again       |
      | drained before      | the hosts of "catalogue" drain and their entries are removed | 0 ms pass                                            |
      | vanished before     | the hosts of "catalogue" vanish and their entries are removed | 0 ms pass                                           |
      | drained after       | the store forgets its history                            | the hosts of "catalogue" drain and their entries are removed  |
      | vanished after      | the store forgets its history                            | the hosts of "catalogue" vanish and their entries are removed |
      | other program there | an entry of another program is written for each machine of "catalogue" | 0 ms pass                                  |
      | other program first | an entry of another program precedes that of each host of "catalogue" | 0 ms pass |
      | agents restart      | the store forgets its history                            | the agents of "catalogue" are down for 0.7 s while the callers ask |

  # A search asked all hosts of the service at once, and probed the others.
  Scenario: The flow of a service that left is found at few of its hosts
    Given a fleet of 2 hosts and 1 balancers
    And 40 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    And 1 open flows
    When the route leads to "dispatch 1" and no other service is configured
    And balancer "b1" is replaced
    Then every open flow gets an answer while at most 8 hosts of "catalogue" get packets

  # An agent that declined a packet as that of another service counted as one
  # whose host had returned it.
  Scenario: Flows are found at a host that took over an address of which their balancer has not learnt
    Given a fleet of 3 hosts and 2 balancers
    And 2 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    When 3000 ms pass
    And balancer "b2" has read the history and makes a pause of 9 s after the route leads to "catalogue 2"
    And the address of "h1" goes to a host of "catalogue"
    And 12 flows open through "b1"
    And only balancer "b2" is in rotation
    Then some flows are at the host that took over the address
    And every open flow gets an answer from its host
    And no caller was reset

  # An entry of another program may name a machine that never answers.
  Scenario: Flows that no host holds are reset soon although entries of no configured service never answer
    Given a fleet of 6 hosts and 1 balancers
    And the route leads to "dispatch 1" and no other service is configured
    And 12 open flows
    When 3 entries of other programs name machines that never answer
    And the store forgets its history
    And balancer "b1" is replaced
    And every host loses its flows
    Then every caller is reset within 4 s, and the next ones within 0.5 s

  Scenario: Packets of a flow whose route was dropped go nowhere
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "catalogue 1"
    And 8 open flows
    When the route leads to ""
    And balancer "b1" is replaced
    Then no request is delivered
    And no caller was reset

  Scenario: New flows follow the weights in force
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 8 open flows
    When the route leads to "dispatch 0, catalogue 1"
    Then 12 new flows are opened on hosts of "catalogue"

  Scenario Outline: A flow that no host holds is reset after every target was asked once: <split>
    Given a fleet of 6 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "dispatch 1, catalogue 1"
    And 8 open flows
    When the route leads to "<split>"
    And balancer "b1" is replaced
    And every host loses its flows
    Then every caller is reset after each of 10 targets got its packet once

    Examples: Splits in force
      | split                   |
      | dispatch 1, catalogue 1 |
      | dispatch 1              |

  Scenario Outline: The end of a flow that no host holds goes to 36 targets and resets nobody: <hosts> and <others>
    Given a fleet of <hosts> hosts and 1 balancers
    And <others> hosts of service "catalogue"
    And the route leads to "dispatch 1"
    And 4 open flows
    When balancer "b1" is replaced
    And every host loses its flows
    And every caller closes its flow and repeats that
    Then each of these packets went to 36 targets
    And no caller was reset

    Examples: Hosts of the service in the route, and of the other
      | hosts | others |
      | 32    | 16     |
      | 36    | 4      |

  Scenario Outline: A search in the usual case sends the same packets as before: <case>
    Given a fleet of 20 hosts and 1 balancers
    And 4 hosts of service "catalogue"
    And the route leads to "<split>"
    And 24 open flows
    When balancer "b1" forgets its flows
    Then the next request of each flow of "dispatch" goes to the first four targets of its service
    And the balancer scored 20 targets for each of them and keeps <kept> for each

    Examples: Routes
      | case         | split                   | kept |
      | one service  | dispatch 1              | 16   |
      | two services | dispatch 9, catalogue 1 | 0    |
