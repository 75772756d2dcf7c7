@virtual
Feature: Flows are placed, kept and given up

  Scenario: A caller gets the answer to its own request
    Given a fleet of 7 hosts and 2 balancers
    When 50 callers ask one after the other
    Then every caller has the answer to its own request
    And no host ran a request twice

  Scenario: Answers come in spite of lost and repeated packets
    Given a fleet of 7 hosts and 2 balancers
    And a network that loses 1 % and repeats 5 %
    When 50 callers ask one after the other
    Then every caller has the answer to its own request

  Scenario: A packet that comes before the first read of the store is served
    Given a fleet of 3 hosts and 1 balancers
    When a caller opens a flow at once
    Then the flow is open

  Scenario: A silent host costs a caller less than 0.2 s, and later ones nothing
    Given a fleet of 3 hosts and 1 balancers
    And host "h1" is silent
    When 30 callers ask one after the other
    Then every caller has the answer to its own request
    And no caller sent a copy of its opening packet
    And host "h1" was offered at most 4 flows

  Scenario: A host is used again as soon as its agent is back
    Given a fleet of 2 hosts and 1 balancers
    And the agent of "h1" was down while 20 callers asked
    When the agent of "h1" starts and 0.2 s go by
    And 20 callers ask one after the other
    Then host "h1" ran at least 5 requests

  Scenario: An open flow outlives its balancer
    Given a fleet of 7 hosts and 3 balancers
    And 20 open flows
    When balancer "b1" is killed
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: Open flows outlive a roll of all balancers while hosts come and go
    Given a fleet of 38 hosts and 4 balancers
    And 40 open flows
    When every balancer is replaced while 8 hosts come and 4 others drain
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: An open flow outlives a restart of the agent beside its host
    Given a fleet of 3 hosts and 2 balancers
    And 10 open flows
    When every agent is restarted
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: The callers of a host that forgot its flows are told
    Given a fleet of 4 hosts and 2 balancers
    And 20 open flows
    When every host forgets its flows
    Then every open flow is reset within 0.5 s of its next request

  Scenario: A flow that waited at one balancer and was placed by another goes on at the first
    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When the opening packets of the flows wait at every balancer once more
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: A flow that none of many hosts holds is told so soon
    Given a fleet of 48 hosts and 2 balancers
    And 20 open flows
    When every host forgets its flows
    And balancer "b1" is killed
    Then every open flow is reset within 0.15 s of its next request

  Scenario: No flow is reset while its host may be the silent one
    Given a fleet of 4 hosts and 1 balancers
    And 12 open flows
    When every host is silent and balancer "b1" is replaced
    And every open flow asks for 2 s
    Then no caller was reset
    And every open flow gets an answer once the hosts are heard

  Scenario: No flow is reset while its host may only be cut off from the store
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When the entry of "h1" is gone for 5 s and balancer "b1" forgets its flows
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: No flow is reset while the store is away
    Given a fleet of 2 hosts and 1 balancers
    And 12 open flows
    When the entry of "h1" lapses, the store goes down and balancer "b1" forgets its flows
    And every open flow asks for 2 s
    Then no caller was reset

  Scenario: No flow is reset by a balancer that starts while entries come back
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When every entry lapses and balancer "b2" starts in place of "b1"
    And every open flow asks while the entries come back within 2 s
    Then no caller was reset
    And every open flow gets an answer from its host

  Scenario: A flow that no host holds is reset soon after the store is back
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When every entry lapses and balancer "b2" starts in place of "b1"
    And every open flow asks while the entries come back within 2 s
    And every host forgets its flows
    And the callers do nothing for 3 s
    Then every open flow is reset within 0.5 s of its next request

  Scenario: The caller's own choice counts when two hosts accept
    Given a fleet of 2 hosts and 1 balancers
    And a caller whose flow both hosts accept
    When it goes on at the host whose acceptance came last
    Then that host answers it

  Scenario: Word of a host that comes after the caller's next packet counts
    Given a fleet of 2 hosts and 1 balancers
    And messages of agents to balancers that take 0.03 s
    When 10 callers ask one after the other
    Then every caller has the answer to its own request
    And every flow that a balancer remembers is confirmed

  Scenario: A full host passes the flow to one that has room
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" accepts no flows
    When 10 callers ask one after the other
    Then every caller has the answer to its own request
    And host "h2" ran at least 10 requests

  Scenario: A flow that no host accepts is refused at once
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" accepts no flows
    And host "h2" accepts no flows
    When a caller opens a flow
    Then the caller is reset within 0.1 s

  Scenario: An entry without a route is refused at once
    Given a fleet of 2 hosts and 1 balancers
    When a caller opens a flow to an entry without a route
    Then the caller is reset within 0.1 s

  Scenario: An opening packet that no host is heard for is refused in the end
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" is silent
    And host "h2" is silent
    When a caller opens a flow
    Then the caller is reset within 1.6 s

  Scenario: An agent takes no flow of another service
    Given a fleet of 2 hosts and 1 balancers
    When an agent gets an opening packet for another service
    Then its host was offered at most 0 flows
    And the packet went back as "otherService"

  Scenario: A stopping agent takes no new flows and lets requests end
    Given a fleet of 2 hosts and 1 balancers
    When the agent of "h1" is told to stop
    And 10 callers ask one after the other
    Then host "h2" ran at least 10 requests

  Scenario: A balancer forgets flows that are silent for the configured time
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When flows may be forgotten after 15 s of silence and 1 flow goes on for 18 s
    Then balancer "b1" remembers 1 flows
    And every open flow gets an answer from its host
    And no caller was reset
