Feature: A list that counts as complete misses no live host, in every schedule

  A balancer resets a flow once its list of targets counts as complete. If a
  live host is missing then, the flows that it holds are reset. The checker
  visits every order of outages, lapsed entries, new hosts and discarded
  histories; each part of the rule is also left out once, which must fail.

  Scenario Outline: Outages, lapses and discarded histories, <case>
    Given the model of complete lists with <rules>
    When every state is visited
    Then all its invariants hold

    Examples:
      | case                    | rules                |
      | an outage               | outages=1 discards=0 |
      | an outage, a discard    | outages=1 discards=1 |
      | an outage, two discards | outages=1 discards=2 |

  Scenario Outline: A live host is missed <when>
    Given the model of complete lists with <rules>
    When every state is visited
    Then the invariant "no live host is missed" is violated

    Examples:
      | when                                         | rules             |
      | if entries that came back date the history   | dates_by_warmth=0 |
      | if new hosts alone tell of a whole restart   | sees_takeovers=0  |
      | if a history that was discarded counts whole | knows_gap=0       |

  Scenario: A list may count as complete although the history was discarded
    Given the model of complete lists with outages=1 discards=1
    When every state is visited
    Then the list counts as complete in some state after a discard
