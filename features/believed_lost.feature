Feature: What was sent and what ended is counted by what happened, not by what is believed

  # Guards against a sound upstream that counts as crashed by a request, since it was silent and its row
  # went meanwhile.
  Scenario: A sound upstream that is silent while its row goes isn't counted as crashed
    Given 5 first upstreams and a route that allows 4
    When 3 upstreams that run a stream fall silent before its first event, and their rows go for a second
    Then its caller got the whole stream
    And no request counts as having crashed an upstream

  # Guards against a handover whose second peer begins with an arrival that no retry was spent on.
  Scenario Outline: Arrivals at full upstreams over two peers are paid by retries: <route>
    Given 3 gateway processes, 4 first upstreams and routes that allow 2
    When 10 <route> requests of a partitioned process are handed over while all upstreams are full
    Then the arrivals beyond the first of each request are no more than the retries that were spent

    Examples:
      | route  |
      | again  |
      | stream |

  # Guards against a stream that waits until its deadline on a connection that has gone silent for good
  # while its upstream answers on new ones.
  Scenario: A stream goes on although its open connection has gone silent for good
    Given 3 gateway processes, 4 first upstreams and routes that allow 2
    When the open connections to the upstream of a stream go silent for good while new ones work
    Then its caller got the whole stream

  # Guards against a stream that waits until its deadline on a connection that no longer works.
  Scenario: An upstream answers again after silence, but not on the stream's connection, and the other one fails
    Given 2 first upstreams and a route that allows 2
    When the stream's connection is silent for good, its upstream for 0.6 seconds, and the other one resets it
    Then its caller got the whole stream
