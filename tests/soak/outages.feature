Feature: Balancers that the store turned away follow it again in time

  Real processes: five balancers, ten agents and their hosts. The store turns two
  balancers away and serves the others, so what it acknowledges meanwhile has
  its bound, 4 s after it serves all again.

  # They were away for up to 10 s more: hosts that had left got new flows.
  Scenario Outline: No flow goes where only balancers that were turned away would send it: <outage>
    When hosts drain and routes change while two balancers find the store <outage>
    Then no promise was broken

    Examples:
      | outage              |
      | silent 7.5          |
      | 429 2.0, silent 3.0 |
