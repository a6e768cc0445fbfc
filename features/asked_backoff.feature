Feature: An upstream that sends Retry-After gets no requests until its backoff is over

  # Guards against requests to an upstream during the backoff that it asked for. Three upstreams refused
  # every request with 503 and `Retry-After: 3`, and the header was ignored. An upstream that refused was
  # avoided for 0.15 s, doubled up to 1.2 s, and only if there was another; calls to a plain service
  # remembered no refusal at all. So each process sent up to nine requests in the three seconds (log of one
  # process, seconds):
  #   0.501 upstream-backoff instance=x1 seconds=3.0
  #   0.701, 1.051, 1.701, 2.951 try-failed instance=x1 kind=refused what="x1 answered 503"
  # If no other path was left, 38 of 40 requests in two seconds reached an upstream that asked for 3 s.

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

  Scenario Outline: If all are backing off, callers learn at once when the first backoff ends: <route>
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others with 2
    When a caller asks for <route> every 0.05 seconds for 2 seconds
    Then no upstream got a request during its backoff
    And every later caller was refused within 0.01 seconds, to retry when the first backoff is over

    Examples:
      | route  |
      | stream |
      | once   |
      | again  |

  # One upstream asked for 3 s, the other one only refused. A caller that the other one had refused got the
  # end of the first one's backoff as Retry-After, though the other could be free earlier: 3.0 s, not 1.0.
  Scenario: The backoff of one upstream doesn't apply to another that only refused
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others without it
    When a caller asks for stream every 0.05 seconds for 1 seconds
    Then the first caller that both refused may retry within 1.1 seconds

  Scenario Outline: The Retry-After of an upstream is <what>: <asks>
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

  Scenario Outline: The backoff holds though <what>
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

  Scenario: A request whose path was chosen before the refusal is not sent after it
    Given upstreams of which the first one refuses requests with Retry-After 3
    When a connection to the first one opens after 0.8 seconds, and another is refused meanwhile
    Then the first one got no request during its backoff
    And every caller was served

  Scenario Outline: Retry-After counts in any response: <answer>
    Given upstreams of which the first one sends Retry-After 3 in the response to <answer>
    When a caller asks for stream every 0.05 seconds for 2 seconds
    Then the first one got no request during its backoff

    Examples:
      | answer                   |
      | a question for its load  |
      | an order                 |

  Scenario: Running streams continue at an upstream that is backing off
    Given upstreams of which the first one will refuse requests with Retry-After 3
    When it does so in the middle of a stream
    Then the caller got every event once
    And one upstream ran the stream

  Scenario: A stream that broke off is not resumed at an upstream that is backing off
    Given upstreams of which the first one will refuse requests with Retry-After 3
    When its stream breaks off after it did so
    Then the caller got every event once, with no pause over 0.5 seconds
    And the first one got no request during its backoff

  Scenario: The backoff applies to the upstream that responded, not to the one at fault
    Given upstreams of which the first one refuses requests for x2's sake, with Retry-After 3
    When a caller asks for stream every 0.05 seconds for 3 seconds
    Then the first one got no request during its backoff
    And every caller was served

  Scenario: The explanation of a refused request names the upstreams that back off
    Given upstreams that all refuse requests, the first one with Retry-After 3 and the others with 2
    When a caller asks for stream every 0.05 seconds for 1 seconds
    Then the explanation of a later refusal names the upstreams and their backoffs

  Scenario: Parsing any values of these headers never fails and yields a bounded time
    Then any response headers are parsed
