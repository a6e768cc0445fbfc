Feature: A cancellation or a cut on one side of an exchange leaves no half message on the other

  Scenario: A deadline that passes as tokens come cuts no write to their caller
    When the deadline of a completion passes in the tick in which its upstream brings
      | what          |
      | the 1st token |
      | the 2nd token |
    Then each time the caller reads the tokens before it, then that the deadline passed
    And each time the entry still answers others

  Scenario: A request whose body was cut is not served
    When a caller sends half of the body of a request to
      | place           | framing | end   |
      | a plain service | length  | end   |
      | a plain service | length  | reset |
      | a plain service | chunks  | end   |
      | a completion    | length  | end   |
      | the controller  | chunks  | end   |
    Then none of these requests was served

  Scenario: The end of an answer also ends what goes with it
    When a caller reads a whole streamed answer
      | and then        |
      | asked to close  |
      | says no more    |
    Then each time the entry closes the connection

  Scenario: The end of a plain service's upstream is not the end of its answer
    When a plain service's upstream answers, closes the connection, and
      | what                         | framing | reply |
      | continues                    | none    | whole |
      | continues                    | length  | whole |
      | has exited                   | none    | lost  |
      | has exited                   | length  | whole |
      | has exited behind a proxy    | none    | lost  |
      | has restarted during a pause | none    | lost  |
      | has restarted during a pause | length  | whole |
    Then each reply is what the table says

  Scenario: Bytes behind an answer are no answer to the next call
    When an upstream of a plain service answers the first of two calls twice at once
    Then each call got the answer to itself

  Scenario: A log whose file had no room for a moment has whole lines
    When there is room for half of a decision, then for all that follow
    Then each line of the log can be read, and they say what was left out

  Scenario: A call that was given up leaves nothing to the next
    When the first of two calls is answered after it was given up, by
      | client              |
      | the store           |
      | a runner's control  |
      | a kept HTTP client  |
      | a link to a peer    |
    Then each time the second call got its own answer
