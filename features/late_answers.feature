Feature: A response that is repeated late is never taken for the response to another call

  Scenario: A caller gets its own response or none, whatever was repeated before it
    When two callers in turn use one kept-alive connection and the first one's response is repeated
      | first   | second  | when                        |
      | stream  | stream  | before the next request     |
      | stream  | stream  | with the next request       |
      | stream  | stream  | 5 ms after the next request |
      | stream  | stream  | 30 ms after the next request |
      | stream  | fragile | with the next request       |
      | stream  | fragile | 30 ms after the next request |
      | fragile | stream  | with the next request       |
      | once    | once    | before the next request     |
      | once    | once    | with the next request       |
      | once    | once    | 20 ms after the next request |
      | once    | again   | with the next request       |
      | once    | again   | 20 ms after the next request |
      | again   | once    | 20 ms after the next request |
      | again   | again   | 20 ms after the next request |
    Then each time the second caller got its own complete response, or learned that it may have run
    And each time no call that may run only once ran twice

  Scenario: A complete copy before a response doesn't fail the next call
    When two callers in turn use one kept-alive connection and the first one's response is repeated
      | first   | second  | when                         |
      | stream  | stream  | with the next request        |
      | stream  | fragile | with the next request        |
      | once    | once    | with the next request        |
      | once    | once    | 20 ms after the next request |
      | once    | again   | 20 ms after the next request |
      | again   | once    | 20 ms after the next request |
    Then each time the second caller got its own complete response, in one run and on that connection

  Scenario: The rest of an incomplete copy is not waited for
    When a call receives on a kept-alive connection
      | late                     | route   |
      | half a copy              | once    |
      | half a copy              | again   |
      | half a copy              | stream  |
      | a copy that says close   | once    |
      | a copy that says close   | again   |
      | a copy without a length  | once    |
      | a copy without a length  | again   |
    Then each time it was retried if allowed, else the caller learned that it may have run
    And each time the outcome was known within 0.15 seconds, or 0.3 with another run

  Scenario Outline: A retried request never takes an earlier refusal for its response: <case>
    Given chains whose first upstream refuses a request once because of <culprit> and then runs it
    When a caller asks for a <route> stream and the refusal is repeated <when>
    Then the caller got every event once
    And the request ran once, at <where>

    Examples:
      | case                      | culprit  | route   | when                        | where |
      | noticed before it is sent | its next | fragile | before the next request     | x1    |
      | at the same upstream      | its next | fragile | with the next request       | x1    |
      | and may be resumed        | its next | stream  | with the next request       | x1    |
      | at another upstream       | itself   | fragile | with the next request       | y1    |

  Scenario: Two callers whose requests have the same id never get each other's response
    When two callers with the same id call one after the other and the first response is repeated
      | when                         |
      | before the next request      |
      | with the next request        |
      | 20 ms after the next request |
    Then each time the second caller got the response to its own body

  Scenario: A caller without an id never gets an upstream's response to the gateway's own query
    When the gateway queries a report that is repeated with the next request of a caller
      | ids |
      | yes |
      | no  |
    Then each time the caller without an id got its own response, or learned that it may have run

  Scenario: A control call accepts no response to another call
    When an upstream's response to one call is repeated in place of the next one
      | ids | first          | next        | believed                   |
      | yes | order taken    | order       | conflict, unanswered       |
      | yes | order held     | order       | conflict, unanswered       |
      | yes | order held     | report      | 7 orders, unanswered       |
      | yes | report         | report      | 7 orders, unanswered       |
      | yes | report         | order       | conflict, unanswered       |
      | yes | report         | move        | unknown-request, unanswered |
      | yes | order taken    | move        | unknown-request, unanswered |
      | yes | order taken    | pulse       | alive at pace 3            |
      | yes | report         | pulse       | alive at pace 3            |
      | no  | order taken    | order       | conflict, unanswered       |
      | no  | order held     | order       | conflict, unanswered       |
      | no  | order held     | report      | 7 orders, unanswered       |
      | no  | report         | order       | conflict, unanswered       |
      | no  | report         | move        | unknown-request, unanswered |
      | no  | order taken    | move        | unknown-request, unanswered |
      | no  | order taken    | pulse       | alive at pace 3            |
      | no  | caller's call  | order       | conflict, unanswered       |
      | no  | caller's call  | report      | 7 orders, unanswered       |
      | no  | caller's call  | move        | unknown-request, unanswered |
      | no  | caller's call  | pulse       | alive at pace 3            |
      | no  | nameless call  | order       | conflict, unanswered       |
      | no  | nameless call  | report      | 7 orders, unanswered       |
    Then each time the accepted answer is correct, or the call counts as unanswered

  Scenario: Control calls keep reusing connections
    Then this many connections are opened for calls one after the other
      | ids | calls                                      | opened |
      | yes | report, report, report, report             | 1      |
      | yes | order, report, order, report, order        | 1      |
      | yes | report, caller's call, move, caller's call | 1      |
      | no  | report, report, report, report             | 1      |
      | no  | report, caller's call, report              | 1      |
      | no  | order, order, order                        | 3      |
      | no  | report, order, report, order               | 2      |
    And 30 moves one after the other leave at most 3 connections open

  Scenario: Late bytes that aren't a response fail the next call, which may have run
    When a call receives on a kept-alive connection
      | late                          | route   |
      | bytes that are no head        | once    |
      | bytes that are no head        | again   |
      | bytes that are no head        | stream  |
      | bytes that are no head        | fragile |
      | an empty line                 | once    |
      | an empty line                 | again   |
      | a head that breaks off        | once    |
      | a head that breaks off        | again   |
      | one that breaks off earlier   | once    |
      | one that breaks off earlier   | again   |
      | a switch of protocols         | once    |
      | a switch of protocols         | again   |
    Then each time it was retried if allowed, else the caller learned that it may have run

  Scenario: Informational responses are skipped, late ones with an equal id too
    When a call receives on a kept-alive connection
      | late                          | route   |
      | an informational answer       | once    |
      | an informational answer       | stream  |
      | one with the call's own id    | once    |
      | one with the call's own id    | again   |
      | one with the call's own id    | stream  |
      | one with the call's own id    | fragile |
    Then each time it was served in one run
