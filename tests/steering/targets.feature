@virtual
Feature: What is known of targets follows the store

  Scenario: A draining host keeps its flows and gets no new ones
    Given a fleet of 3 hosts and 2 balancers
    And 12 open flows
    When host "h1" drains and 1 s goes by
    And 20 callers ask one after the other
    Then host "h1" was given no new flow
    And every open flow gets an answer from its host

  Scenario: An entry that vanishes is used behind all others for 2 s
    Given a fleet of 2 hosts and 1 balancers
    When the entry of "h1" is removed
    Then it is known for 1 s and gone after 3 s
    And meanwhile 20 callers ask only "h2"

  Scenario: Entries that lapse in an outage and come back cost no flow
    Given a fleet of 3 hosts and 1 balancers
    When the store is away for 4 s and every entry lapses for 1.5 s
    And 20 callers ask one after the other
    Then every caller has the answer to its own request

  Scenario Outline: The younger of two hosts at one address is known
    Given a fleet of 2 hosts and 1 balancers
    When host "<first>" of birth <born> and then "<second>" of birth <later> are listed at one address
    Then "i-young" is known there, also after the entry of "i-old" is removed

    Examples:
      | first   | born | second  | later |
      | i-old   | 5    | i-young | 9     |
      | i-young | 9    | i-old   | 5     |

  Scenario: An address that another service took over gets nothing of the old one
    Given a fleet of 2 hosts and 1 balancers
    When the address of "h1" goes to a host of another service behind the balancer's back
    And 20 callers ask one after the other
    Then every caller has the answer to its own request
    And the host at the address of "h1" was offered nothing

  Scenario: An entry that cannot be read takes its host away and no other
    Given a fleet of 3 hosts and 1 balancers
    When the entry of "h1" cannot be read and 3 s go by
    Then 2 targets are known

  Scenario: A discarded history is read anew and the version never falls
    Given a fleet of 3 hosts and 1 balancers
    When the history is discarded while version 5 comes and host "h2" drains
    Then version 5 is in force within 1 s and "h2" is draining
    And an older version 3 that is read later does not come into force

  Scenario: A connection to the store that has gone silent is left in time
    Given a fleet of 3 hosts and 1 balancers
    When the store's answers are lost for 3 s while version 9 comes
    Then version 9 is in force within 3 s after that

  Scenario: A store whose answers take 3 s on a slow link is read in the end
    Given a store without a configuration and a balancer
    When the store's answers take 3 s and version 1 comes
    And 12 s pass without a change
    Then the balancer is ready

  Scenario: A balancer calls the store rarely when nothing changes
    Given a fleet of 3 hosts and 1 balancers
    When 60 s pass without a change
    Then the store had at most 60 calls

  Scenario: A balancer is ready only once it knows routes
    Given a store without a configuration and a balancer
    When 1 s goes by
    Then the balancer is not ready
    When version 1 comes and 1 s goes by
    Then the balancer is ready

  Scenario: The names of removed targets take no more room than a limit
    Given a fleet of 2 hosts and 1 balancers
    When the removal of 5000 hosts is read
    Then the balancer remembers at most 4096 removed names
