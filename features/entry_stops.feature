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

  # Guards against connections that the end of a stop closes with a request in them.
  Scenario Outline: A request that arrives as an entry ends is refused: <what>
    Given a small site whose entry has 1 s to stop
    When a caller with <connection> sends a call <seconds> s after the last request of the stop
    Then it gets 503 not-run stopping and a close
    And the entry ends at most 1.5 s after it was stopped

    Examples:
      | what                           | connection             | seconds |
      | on a served connection         | a served connection    | 0       |
      | the same, a moment later       | a served connection    | 0.2     |
      | on a fresh connection          | a fresh connection     | 0       |
      | the same, a moment later       | a fresh connection     | 0.2     |
      | in the accept queue            | no connection          | 0       |
      | in the accept queue with others | 20 others             | 0       |
      | in a late process              | no connection          | 0 late  |

  # Guards against an end that cuts whole answers, and against one that waits for their callers.
  Scenario: An answer that is whole reaches a caller who reads it after the entry has ended
    Given a small site whose entry has 1 s to stop
    When a caller gets an answer of 1000000 bytes and reads it once the entry has ended
    Then it gets the whole answer of the entry
    And the entry ends at most 1.5 s after it was stopped

  # Guards against an error of the last accept that ends all connections with what is in flight.
  Scenario: A failure to accept as an entry ends cuts no answer
    Given a small site whose entry has 1 s to stop
    And the entry can accept no connection as it ends
    When a caller gets an answer of 1000000 bytes and reads it once the entry has ended
    Then it gets the whole answer of the entry

  # Guards against a reset of the request that a caller sends as its idle connection is closed.
  Scenario: Requests that lie in idle connections are answered as the idle timeout passes
    When 12 callers send requests in the turn in which the idle timeout of an entry passes
    Then each of them gets an answer
