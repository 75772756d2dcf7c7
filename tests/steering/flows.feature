@virtual
Feature: New flows are placed, open flows reach their hosts, lost flows are reset

  Guards against flows that are reset although their host still holds them,
  after a balancer, an agent or the store was lost, and against callers that
  wait for their own timeout although no host can serve them.

  A caller that asks opens a flow, sends a request and waits for its answer.

  Scenario: A caller gets the answer to its own request
    Given a fleet of 7 hosts and 2 balancers
    When 50 callers ask one after the other
    Then every caller has the answer to its own request
    And no host ran a request twice

  Scenario: Requests are answered despite lost and duplicated packets
    Given a fleet of 7 hosts and 2 balancers
    And a network that drops 1 % and duplicates 5 % of packets
    When 50 callers ask one after the other
    Then every caller has the answer to its own request

  Scenario: An opening packet that arrives before the balancer has read the store is served
    Given a fleet of 3 hosts and 1 balancers
    When a caller opens a flow at once
    Then the flow is open

  Scenario: A silent host delays a caller by less than 0.2 s, and later callers not at all
    Given a fleet of 3 hosts and 1 balancers
    And host "h1" is silent
    When 30 callers ask one after the other
    Then every caller has the answer to its own request
    And no caller retransmitted its opening packet
    And host "h1" was offered at most 4 flows

  Scenario: A host is used again as soon as its agent is back
    Given a fleet of 2 hosts and 1 balancers
    And the agent of "h1" was down while 20 callers asked
    When the agent of "h1" starts and 0.2 s pass
    And 20 callers ask one after the other
    Then host "h1" ran at least 5 requests

  Scenario: An open flow survives the loss of its balancer
    Given a fleet of 7 hosts and 3 balancers
    And 20 open flows
    When balancer "b1" is killed
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: Open flows survive the replacement of all balancers while hosts join and drain
    Given a fleet of 38 hosts and 4 balancers
    And 40 open flows
    When every balancer is replaced while 8 hosts join and 4 others drain
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: An open flow survives a restart of its host's agent
    Given a fleet of 3 hosts and 2 balancers
    And 10 open flows
    When every agent is restarted
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: Callers are reset when their hosts have lost their flows
    Given a fleet of 4 hosts and 2 balancers
    And 20 open flows
    When every host loses its flows
    Then every open flow is reset within 0.5 s of its next request

  Scenario: A balancer that parked an opening packet finds the flow after another placed it
    The caller's retransmission went to another balancer. The first one then
    gets data of a flow that it knows without an agent.

    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When every balancer has parked the opening packets of the flows
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: A flow that none of many hosts holds is reset soon
    Given a fleet of 48 hosts and 2 balancers
    And 20 open flows
    When every host loses its flows
    And balancer "b1" is killed
    Then every open flow is reset within 0.15 s of its next request

  Scenario: No flow is reset while a silent host may hold it
    A silent host returns no packets, so a balancer without state of the flow
    learns only that the other hosts do not hold it.

    Given a fleet of 4 hosts and 1 balancers
    And 12 open flows
    When every host is silent and balancer "b1" is replaced
    And every open flow asks for 2 s
    Then no caller was reset
    And every open flow gets an answer once the hosts respond

  Scenario: No flow is reset while its host may be alive but cut off from the store
    An entry lapses if its host can't reach the store, also if the host still
    serves its flows.

    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When the entry of "h1" is gone for 5 s and balancer "b1" forgets its flows
    Then every open flow gets an answer from its host
    And no caller was reset

  Scenario: No flow is reset while the store is down
    The list of targets may be too short then.

    Given a fleet of 2 hosts and 1 balancers
    And 12 open flows
    When the entry of "h1" lapses, the store goes down and balancer "b1" forgets its flows
    And every open flow asks for 2 s
    Then no caller was reset

  Scenario: No flow is reset by a balancer that starts while lapsed entries are listed again
    A balancer that starts shortly after an outage of the store reads a list
    of targets that is still too short.

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
    And every host loses its flows
    And the callers do nothing for 3 s
    Then every open flow is reset within 0.5 s of its next request

  Scenario: A flow that two hosts accepted goes to the one that its caller acknowledges
    A slow acceptance makes the balancer offer the flow to a second host.

    Given a fleet of 2 hosts and 1 balancers
    And a caller whose flow both hosts accept
    When the caller continues with the host whose acceptance came last
    Then that host answers it

  Scenario: A host's report that arrives after the caller's next packet confirms the flow
    The caller gets the host's acceptance before the balancer gets the report.

    Given a fleet of 2 hosts and 1 balancers
    And messages of agents to balancers that take 0.03 s
    When 10 callers ask one after the other
    Then every caller has the answer to its own request
    And every flow in a balancer's cache is confirmed

  Scenario: A flow that one host refuses is placed on another
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" accepts no flows
    When 10 callers ask one after the other
    Then every caller has the answer to its own request
    And host "h2" ran at least 10 requests

  Scenario: A flow that every host refuses is reset at once
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" accepts no flows
    And host "h2" accepts no flows
    When a caller opens a flow
    Then the caller is reset within 0.1 s

  Scenario: A flow to an entry without a route is reset at once
    Given a fleet of 2 hosts and 1 balancers
    When a caller opens a flow to an entry without a route
    Then the caller is reset within 0.1 s

  Scenario: A flow that no host responds to is reset after the longest wait
    Given a fleet of 2 hosts and 1 balancers
    And host "h1" is silent
    And host "h2" is silent
    When a caller opens a flow
    Then the caller is reset within 1.6 s

  Scenario: An agent returns an opening packet for another service
    Given a fleet of 2 hosts and 1 balancers
    When an agent gets an opening packet for another service
    Then its host was offered at most 0 flows
    And the packet was returned with reason "otherService"

  Scenario: A stopping agent accepts no new flows
    Given a fleet of 2 hosts and 1 balancers
    When the agent of "h1" is stopping
    And 10 callers ask one after the other
    Then host "h2" ran at least 10 requests

  Scenario: A balancer drops flows that have been idle for the configured time
    Given a fleet of 3 hosts and 1 balancers
    And 12 open flows
    When the idle timeout is 15 s and 1 flow sends requests for 18 s
    Then balancer "b1" has 1 flows in its cache
    And every open flow gets an answer from its host
    And no caller was reset
