Feature: A balancer that joins takes callers once it is heard

  Scenario: The instance list lags behind a new balancer
    Given both small services behind 2 balancers
    When balancer 3 starts before it is listed
    Then it is not ready for 5 s
    When the platform lists balancer 3
    Then it is ready within 30 s and the fabric uses it alone
    When 40 callers book, 10 at a time, at both services
    Then every answer is whole and from a target of its own service
    And each of the bookings ran once
