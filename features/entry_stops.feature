@planned-stop
Feature: An entry that stops gives each request its outcome

  # Guards against requests that the end of a stop cuts off: their callers get neither an answer nor
  # a refusal.
  Scenario: What is unfinished at the end of a stop ends with an outcome before the process does
    Given a small site whose entry has 1 s to stop
    When the entry is stopped beside these requests
      | request                                    | gets                                |
      | a stream that began                        | 200 with tokens, then stopping      |
      | a stream without a token                   | 504 unknown stopping                |
      | a whole completion that runs               | 504 unknown stopping                |
      | a completion that waits for admission      | 503 not-run stopping                |
      | a call that may not be repeated            | 504 unknown stopping                |
      | a call that may be repeated                | 504 unknown stopping                |
      | a call with a key that waits for its claim | 503 not-run stopping                |
      | half of a body                             | 503 not-run stopping                |
    Then each caller gets what the table says
    And the entry ends at most 2.3 s after it was stopped
