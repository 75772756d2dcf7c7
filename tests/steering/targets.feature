@virtual
Feature: A balancer's list of targets follows the platform store

  Guards against lists that are out of date or too short: entries lapse while
  the store is down, watches break or lose their history, and addresses go
  from one host to another.

  Scenario: A draining host keeps its flows and gets no new ones
    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When host "h1" drains and 1 s goes by
    And 20 callers ask one after the other
    Then host "h1" was given no new flow
    And every open flow gets an answer from its host

  Scenario: A host whose entry vanishes is used after all others for 2 s
    Given a fleet of 2 hosts and 1 balancers
    When the entry of "h1" is removed
    Then the host is still listed after 1 s and no longer after 3 s
    And after another removal, the requests of 20 callers go to "h2" only

  Scenario: Entries that lapse in a store outage and are listed again cost no flow
    Given a fleet of 3 hosts and 1 balancers
    When the store is down for 4 s and every entry lapses for 1.5 s
    And 20 callers ask one after the other
    Then every caller has the answer to its own request

  Scenario Outline: Of two hosts at one address, the one that started last is used
    A new host may get the address of a former one whose entry is still
    listed, and the two entries may be read in either order.

    Given a fleet of 2 hosts and 1 balancers
    When host "<first>" of incarnation <born> and then "<second>" of incarnation <later> are listed at one address
    Then "i-young" is the target there, also after the entry of "i-old" is removed

    Examples:
      | first   | born | second  | later |
      | i-old   | 5    | i-young | 9     |
      | i-young | 9    | i-old   | 5     |

  # The host was dropped, and its flows were reset by balancers that started.
  Scenario Outline: An entry of another program on a host's machine hides no host: <entry>
    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When an entry <entry> is written for the machine of "h1"
    And every balancer is replaced by one that knows no flows
    Then every open flow gets an answer from its host
    And no caller was reset
    And host "h1" is given new flows
    And no host counts as one that took over an address
    And the entry is counted as unused

    Examples:
      | entry                                     |
      | of no configured service                  |
      | of no configured service, started earlier |

  # Of two vanished entries of one machine, only the later start was asked.
  Scenario: Flows of a host that vanished are found although another program on its machine vanished too
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When an entry of no configured service is written for the machine of "h1"
    And that entry and the one of "h1" are removed
    And every balancer is replaced by one that knows no flows
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: A host whose service is configured after its entry was read gets flows then
    Given a fleet of 3 hosts and 1 balancers
    When a host of the service "maps" is listed, and configured 1 s later
    Then its service is served within 1 s

  Scenario: A host that took over the address of another service gets none of its packets
    Addresses are reused, and the balancer may learn of it late.

    Given a fleet of 2 hosts and 1 balancers
    When the address of "h1" goes to a host of another service and the balancer does not learn of it
    And 20 callers ask one after the other
    Then every caller has the answer to its own request
    And the host at the address of "h1" received no packet

  Scenario: An unreadable entry removes its host and no other
    Given a fleet of 3 hosts and 1 balancers
    When the entry of "h1" cannot be read and 3 s go by
    Then 2 targets are listed

  Scenario: The store is read anew after it discarded its history, and the version never decreases
    A watch can't go on from a revision that the store no longer knows.

    Given a fleet of 3 hosts and 1 balancers
    When the store discards its history while version 5 is published and host "h2" drains
    Then version 5 is in force within 1 s and "h2" is draining
    And an older version 3 that is read later does not come into force

  Scenario: A connection on which the store's answers are lost is replaced in time
    A watch call whose answer is lost would wait for ever.

    Given a fleet of 3 hosts and 1 balancers
    When the store's answers are lost for 3 s while version 9 is published
    Then version 9 is in force within 3 s after that

  Scenario: A store whose answers take 3 s on a slow link is read eventually
    Given a store without a configuration and a balancer
    When the store's answers take 3 s and version 1 is published
    And 12 s pass without a change
    Then the balancer is ready

  Scenario: A balancer calls the store rarely when nothing changes
    Given a fleet of 3 hosts and 1 balancers
    When 60 s pass without a change
    Then the store had at most 60 calls

  # An answer of 250 entries counted as one that was cut.
  Scenario: A balancer reads a large site rarely while there is no configuration
    Given a store without a configuration and a balancer
    And 300 hosts are listed
    When 60 s pass without a change
    Then the store had at most 120 calls

  # The second and third answer followed after a pause each; one is 0.75 s here.
  Scenario: More changes than an answer holds are known after one pause
    Given a fleet of 3 hosts and 1 balancers
    And 10 s pass
    When 1200 hosts are listed at once
    Then the balancer knows them after 0.8 s

  Scenario: A balancer is ready only once it has read routes
    Given a store without a configuration and a balancer
    When 1 s goes by
    Then the balancer is not ready
    When version 1 is published and 1 s goes by
    Then the balancer is ready

  Scenario: The number of removed targets that a balancer remembers is limited
    Given a fleet of 2 hosts and 1 balancers
    When the removal of 5000 hosts is read
    Then the balancer remembers at most 4096 removed names

  Scenario: The number of drained targets that a balancer remembers is limited
    Given a fleet of 2 hosts and 1 balancers
    When 5000 hosts drain and leave
    Then the balancer remembers at most 4096 drained names

  # The change that used up the former revision was in no answer to a watch.
  Scenario Outline: A change that gets the revision of a lost one comes into force: <case>
    Given a fleet of 3 hosts and 2 balancers
    When the store is restored from a copy that lacks version 4, and its era <changes>
    And version 5 is published at the revision that version 4 had
    Then version 5 is in force within 1 s
    And host "h2" drains and is draining within 1 s

    Examples:
      | case                | changes       |
      | the era rises       | rises         |
      | the era falls       | falls         |
      | no era is published | is never told |

  # The watch went on from a revision that was given out twice.
  Scenario: Changes below the followed revision are read although the restored store has passed it
    Given a fleet of 3 hosts and 2 balancers
    When the store is restored from a copy and passes its former revision before it answers
    Then version 5 is in force within 1 s and "h2" is draining

  # The entry of the copy had a lower revision than the lost one.
  Scenario: An entry that only the lost writes changed is as the restored store has it
    Given a fleet of 3 hosts and 2 balancers
    When "h2" is written with 9 slots and the store is restored from a copy with 2
    Then "h2" has 2 slots

  # The copy lists as ready what was seen to drain.
  Scenario: A host that was seen to drain gets no new flow when a restored store lists it as ready
    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When host "h1" drains and the store is restored from a copy made before
    And 20 callers ask one after the other
    Then host "h1" was given no new flow
    And every open flow gets an answer from its host
    When the store discards its history and 1 s goes by
    And 20 callers ask one after the other
    Then host "h1" was given no new flow

  # Not the copy, but the host itself says so.
  Scenario: A host that was seen to drain gets new flows once it writes that it is ready
    Given a fleet of 3 hosts and 2 balancers
    When host "h1" drains and the store is restored from a copy made before
    And host "h1" is listed as ready and 1 s goes by
    Then host "h1" is ready

  # The copy lists a host that had left.
  Scenario: A host that drained and left gets no new flow when a restored store lists it again
    Given a fleet of 3 hosts and 2 balancers
    When host "h1" drains, leaves and the store is restored from a copy made before
    And 20 callers ask one after the other
    Then host "h1" was given no new flow

  # The copy lists the start before the last one.
  Scenario: A host that started again is not taken for its former start in a restored store
    Given a fleet of 3 hosts and 2 balancers
    When host "h1" starts again at another address and the store is restored from a copy made before
    Then the target "h1" is the one of the later start

  # The copy lists the former host of an address.
  Scenario: A host that lost its address gets no new flow when a restored store lists it again
    Given a fleet of 3 hosts and 2 balancers
    When the address of "h1" goes to a younger host that ends, and the store is restored from a copy made before
    And 20 callers ask one after the other
    Then host "h1" was given no new flow

  # An entry of an earlier start than the one that drained was not outdated.
  Scenario: A host that started again, drained and left gets no new flow when a restored store lists its earlier start
    Given a fleet of 3 hosts and 1 balancers
    When host "h1" starts again, drains, leaves and the store is restored from a copy of its earlier start
    And 20 callers ask one after the other
    Then host "h1" was given no new flow

  # A drain that only the store's history told was not remembered.
  Scenario: A leaving host that is known from the history only gets no new flow when a restored store lists it as ready
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When host "h1" drains, leaves, balancer "b1" learns of it from the history and the store is restored from a copy made before
    And 20 callers ask one after the other
    Then host "h1" was given no new flow
    And every open flow gets an answer from its host
