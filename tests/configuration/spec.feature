Feature: The specification of the version exchange

  Scenario: Every state within 3 faults keeps the promises
    When the design is checked from a start of everything, 3 faults
    Then no life goes back and none serves below what it could learn

  Scenario: Whoever can talk comes to agree
    When the design is checked for convergence, 3 faults
    Then agreement can be reached from every state

  Scenario: Taking whatever comes goes back
    When the design that takes whatever comes is checked, 0 faults
    Then a life goes back after "read, ask 0 1"

  Scenario: Starting without asking serves below
    When the design that starts without asking is checked, 2 faults
    Then a process serves below what it could learn, after a "restart"

  Scenario: Without comparison a lost push is never made up for
    When the design without comparison is checked for convergence, 3 faults
    Then disagreement stays after a "cut" and a "heal"

  @virtual
  Scenario: The real classes follow the specification
    When 150 random runs of 40 steps are replayed
    Then after each step every process has the version that is specified
