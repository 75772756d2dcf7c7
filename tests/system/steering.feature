Feature: The daemons of the platform run as processes

  Scenario: A request is served end to end and the logs tell its way
    Given a store, 2 hosts with agents and 2 balancers as processes
    When 20 callers ask through both balancers
    Then every caller has its own answer
    And the output of the processes names each flow and where it went
    And both kinds of daemon serve metrics with their histograms

  Scenario: A SIGHUP ends no process and a SIGTERM ends each in time
    Given a store, 2 hosts with agents and 2 balancers as processes
    When every process gets SIGHUP, early and late
    And 4 callers ask through both balancers
    And every process gets SIGTERM
    Then every process ends with 0 within 8 s

  # Daemons stopped following the store; elsewhere they ended again and again.
  Scenario: Odd entries in the store end no process, stop no change and hide no host
    Given a store, 2 hosts with agents and 2 balancers as processes
    When another program writes odd entries
    And version 8 of the configuration is written
    Then every balancer has version 8 within 3 s
    When every balancer is killed and started again
    And 20 callers ask through both balancers
    Then every caller has its own answer
    And both hosts were asked

  Scenario: Standard output that nobody reads holds up no packet
    Given a store, 2 hosts with agents and 2 balancers as processes
    And nobody reads what the processes write
    When 400 callers ask through both balancers, 8 at a time
    Then every caller has its own answer

  Scenario: A process with faulty settings ends and says why
    When a daemon is started with settings that are not TOML
    Then it ends with 1 and names the file and the fault
