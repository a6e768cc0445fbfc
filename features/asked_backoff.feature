Feature: An upstream that asks for time without requests gets none until that time is over

  # Three upstreams turned every request away with 503 and `Retry-After: 3`. Nothing read that header.
  # An upstream that refused was left out by the gateway's own guess, 0.15 s doubled up to 1.2 s, only
  # where there was another, and a call to a plain service remembered no refusal at all; so each
  # process went on sending, up to nine requests in the three seconds. What settled it was the log of
  # one process with what the upstream asked for beside the tries that followed (seconds of the clock):
  #   0.501 upstream-backoff instance=x1 seconds=3.0
  #   0.701, 1.051, 1.701, 2.951 try-failed instance=x1 kind=refused what="x1 answered 503"
  # Where no other path was left, 38 of 40 requests in two seconds reached an upstream that asked for 3.

  Scenario Outline: Callers who keep coming are served elsewhere: <route>
    Given upstreams of which the first one refuses requests with Retry-After 3
    When a caller asks for <route> every 0.05 seconds for 5 seconds
    Then the first one got no request during its backoff
    And every caller was served
    And the first one got requests again after its backoff

    Examples:
      | route  |
      | stream |
      | once   |
      | again  |

  Scenario Outline: Where all asked for time, callers are told at once when the first one's is over: <route>
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others with 2
    When a caller asks for <route> every 0.05 seconds for 2 seconds
    Then no upstream got a request during its backoff
    And every later caller was refused within 0.01 seconds, to retry when the first backoff is over

    Examples:
      | route  |
      | stream |
      | once   |
      | again  |

  # One upstream asked for 3 s, the other one only refused. A caller whom the other one had turned away
  # was told the end of the first one's time, as if no other could be free earlier: 3.0 s in place of 1.0.
  Scenario: A time that one asked for says nothing of another that only refused
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others without it
    When a caller asks for stream every 0.05 seconds for 1 seconds
    Then the first caller that both refused may retry within 1.1 seconds

  Scenario Outline: What an upstream writes is <what>: <asks>
    Given upstreams of which the first one refuses requests with Retry-After <asks>
    When a caller asks for stream every 0.05 seconds for 2 seconds
    Then the first one got its next request after <seconds> seconds, <malformed> malformed responses

    Examples:
      | what                 | asks                          | seconds      | malformed |
      | a whole number       | 1                             | 1            | without   |
      | a fraction           | 0.7                           | 0.7          | without   |
      | a fraction alone     | .7                            | 0.7          | without   |
      | nothing to wait for  | 0                             | less than 0.7 | without   |
      | below nothing        | -3                            | less than 0.7 | with      |
      | a date               | Thu, 03 Dec 2026 10:00:00 GMT | less than 0.7 | with      |
      | a word               | soon                          | less than 0.7 | with      |
      | no number            | nan                           | less than 0.7 | with      |
      | without end          | inf                           | less than 0.7 | with      |
      | of many digits       | 9999999999                    | never        | without   |
      | of too many digits   | 9 and 400 more digits         | less than 0.7 | with      |
      | told twice           | 0.3 / 0.9                     | 0.9          | without   |
      | told well and badly  | soon / 0.9                    | 0.9          | with      |

  Scenario Outline: The time holds though <what>
    Given upstreams of which the first one refuses requests with Retry-After 3
    When the first one has sent it, and <what>
    And a caller asks for <route> every 0.05 seconds for 4 seconds
    Then the first one got no request during its backoff

    Examples:
      | what                                   | route  |
      | its row goes and comes back            | stream |
      | its row is written anew                | stream |
      | all rows are read anew                 | stream |
      | its row can't be read for a moment     | stream |
      | it moves to another address            | stream |
      | it was suspected and answers again     | stream |
      | it starts again under its id           | stream |
      | the store is away                      | stream |
      | a shorter time is asked for            | stream |
      | its row goes and comes back            | once   |
      | it starts again under its id           | once   |

  Scenario: A request that was chosen before the answer came is not sent after it
    Given upstreams of which the first one refuses requests with Retry-After 3
    When a connection to the first one opens after 0.8 seconds, and another is refused meanwhile
    Then the first one got no request during its backoff
    And every caller was served

  Scenario Outline: The word counts in whatever answer it comes: <answer>
    Given upstreams of which the first one sends Retry-After 3 in the response to <answer>
    When a caller asks for stream every 0.05 seconds for 2 seconds
    Then the first one got no request during its backoff

    Examples:
      | answer                   |
      | a question for its load  |
      | an order                 |

  Scenario: Streams under way at an upstream that asks for time go on there
    Given upstreams of which the first one will refuse requests with Retry-After 3
    When it does so in the middle of a stream
    Then the caller got every event once
    And one upstream ran the stream

  Scenario: A stream that broke off is not resumed at an upstream that asked for time
    Given upstreams of which the first one will refuse requests with Retry-After 3
    When its stream breaks off after it did so
    Then the caller got every event once, with no pause over 0.5 seconds
    And the first one got no request during its backoff

  Scenario: It is the one that answers who asked, not the one at fault
    Given upstreams of which the first one refuses requests for x2's sake, with Retry-After 3
    When a caller asks for stream every 0.05 seconds for 3 seconds
    Then the first one got no request during its backoff
    And every caller was served

  Scenario: From a refused caller's id to those who asked for time
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others with 2
    When a caller asks for stream every 0.05 seconds for 1 seconds
    Then the explanation of a later refusal names the upstreams and their backoffs

  Scenario: Whatever stands in these headers, reading them never fails and asks for a bounded time
    Then any response headers are parsed
