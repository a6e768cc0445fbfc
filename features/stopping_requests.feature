@planned-stop
Feature: A process that stops ends each request that it has read with an answer

  # Guards against a stop that closes the connections of requests without a byte of an answer.
  Scenario Outline: A request whose upstream doesn't answer is answered before the process ends: <what>, <grace> s
    Given a process that is stopped with a grace period of <grace> s
    And upstreams that begin each request and never answer
    When a caller sends <request> 0.1 s before the stop
    Then it gets <status> with outcome <outcome>, reason stopping and a Retry-After
    And the process has ended by itself within its grace period

    Examples:
      | what                     | grace | request                      | status | outcome |
      | runs at most once        | 8     | once                         | 504    | unknown |
      | may run again            | 8     | again                        | 504    | unknown |
      | a stream                 | 8     | stream                       | 504    | unknown |
      | a stream that runs once  | 8     | fragile                      | 504    | unknown |
      | runs at most once        | 2     | once                         | 504    | unknown |
      | a stream                 | 2     | stream                       | 504    | unknown |
      | at a peer                | 8     | once while partitioned       | 504    | unknown |
      | a stream at a peer       | 8     | stream while partitioned     | 504    | unknown |
      | not sent to an upstream  | 8     | again without a token        | 503    | not-run |
      | a stream, not sent       | 5     | stream without a token       | 503    | not-run |

  # Guards against answers and streams that are cut while the grace period lasts.
  Scenario Outline: What was begun may use the grace period until shortly before its end: <what>, <grace> s
    Given a process that is stopped with a grace period of <grace> s
    When <what> goes on until 0.9 of the grace period
    Then its caller got the whole answer
    And the process has ended by itself within its grace period

    Examples:
      | what                                    | grace |
      | an answer that its caller reads slowly  | 8     |
      | an answer that its caller reads slowly  | 5     |
      | an answer that its caller reads slowly  | 2     |
      | a stream                                | 8     |
      | a stream                                | 5     |
      | a stream                                | 2     |

  # Guards against upstreams that work on requests for longer than the process exists.
  Scenario Outline: A request that comes while the process stops is served in the time that is left: <route>
    Given a process that is stopped with a grace period of 8 s
    When a caller sends <route> 1 s after the stop
    Then its caller got the whole answer
    And its upstream was handed between 5 and 7 s

    Examples:
      | route  |
      | once   |
      | stream |

  # Guards against requests that come late in the grace period, are passed on and then closed without
  # an answer as the process ends, among them those that may run once only.
  Scenario Outline: A request that comes while the process stops is answered or refused: <route>, <delay> s after
    Given a process that is stopped with a grace period of <grace> s
    And upstreams that begin each request and never answer
    When a caller sends <route> <delay> s after the stop, beside an earlier request that goes on
    Then it gets <status> with outcome <outcome>, reason stopping and a Retry-After
    And the process has ended by itself within its grace period

    Examples:
      | route  | delay | grace | status | outcome |
      | once   | 2.4   | 8     | 504    | unknown |
      | stream | 0.9   | 8     | 504    | unknown |
      | once   | 0.9   | 2     | 504    | unknown |
      | once   | 2.8   | 8     | 503    | not-run |
      | again  | 5     | 8     | 503    | not-run |
      | stream | 5     | 8     | 503    | not-run |
      | once   | 6.5   | 8     | 503    | not-run |
      | once   | 1.2   | 2     | 503    | not-run |

  # Guards against streams that are taken by a process that ends in their middle.
  Scenario Outline: A stream is taken while the process stops only if it can end before: usually <seconds> s
    Given a process that is stopped with a grace period of 8 s
    And streams that usually take <seconds> s
    When a caller sends stream 1 s after the stop
    Then <outcome>

    Examples:
      | seconds | outcome                                                             |
      | 7       | it gets 503 with outcome not-run, reason stopping and a Retry-After |
      | 7       | it is refused at once, before it is sent to an upstream             |
      | 5       | its caller got the whole answer                                     |

  # Guards against callers that get the end of another process than theirs as their outcome.
  Scenario Outline: What a stopping peer leaves unanswered goes on at another one: <request>
    Given a process that is stopped with a grace period of <grace> s
    And upstreams that begin each request and never answer
    When <request> of a partitioned process is at a peer that stops, and upstreams work again after that
    Then <outcome>

    Examples:
      | request | grace | outcome                                                   |
      | again   | 5     | its caller got the whole answer                           |
      | stream  | 0.8   | its caller got the whole answer                           |
      | once    | 5     | it gets 504 with outcome unknown, and one upstream has it |

  # Guards against a stop whose log says that the callers left.
  Scenario: The log names each request that a stop cuts, and what it waited for
    Given a process that is stopped with a grace period of 5 s
    When a stream goes on until 1.5 of the grace period
    Then the log says that r1, which had begun, was cut by the stop and waited for its upstream
    And the log says that 1 request was unfinished
    And the process has ended by itself within its grace period
