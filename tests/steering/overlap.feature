@virtual
Feature: Overlapping calls of the store give the first answer

  Scenario Outline: A patient call <ends> while a new call waits for 0.8 s
    Given a patient call that <ends> after 0.5 s
    When a new call is answered after 0.8 s
    Then <outcome> after <seconds> s and no call is under way

    Examples:
      | ends                   | outcome                 | seconds |
      | is answered            | its answer is returned  | 0.5     |
      | is refused             | the new one is returned | 0.8     |
      | stays unanswered       | the new one is returned | 0.8     |
      | finds the history lost | the loss is reported    | 0.5     |

  # A hung patient call must not delay what a new connection can do.
  Scenario: A new call that fails is reported although the patient one waits
    Given a patient call that is answered after 3 s
    When a new call is refused after 0.1 s
    Then the refusal is reported after 0.1 s and the patient call waits on

  Scenario: Patient calls wait for longer each time, until another is answered
    Then patient calls in vain bear 2, 4, 8 and 8 s without data
    And after an answer to a new call 2 s again

  Scenario: In any order of answers and failures the earliest answer is returned
    Then any two calls give what ends first, or the failure of the new one
