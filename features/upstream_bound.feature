Feature: A request is executed by no more upstreams than its route allows

  # Guards against a third upstream for a stream of a route that allows two, and against a stream that
  # was ended beside sound upstreams: those that were silent for a second were left out of the count.
  Scenario Outline: Sound upstreams fall silent, go on: <bound> of <count>, <silences>, <moment>
    Given <count> first upstreams and a route that allows <bound>
    When upstreams that run a stream fall silent for a second <moment>: <silences>
    Then its caller got the whole stream
    And it was executed by no more than <bound> upstreams

    Examples:
      | bound | count | silences                   | moment                 |
      | 1     | 2     | the first one              | before its first event |
      | 1     | 2     | the first one              | after five events      |
      | 2     | 3     | the first one              | before its first event |
      | 2     | 3     | the first one              | after five events      |
      | 2     | 3     | two, one after the other   | before its first event |
      | 2     | 3     | two, one after the other   | after five events      |
      | 2     | 4     | three, one after the other | before its first event |
      | 2     | 4     | three, one after the other | after five events      |
      | 2     | 3     | all at once                | before its first event |
      | 2     | 3     | all at once                | after five events      |
      | 3     | 4     | three, one after the other | after five events      |
      | 3     | 5     | four, one after the other  | before its first event |
      | 3     | 5     | four, one after the other  | after five events      |

  # Guards against rows that went in an outage of the store: their upstreams were left out as well.
  Scenario Outline: Sound upstreams fall silent, go on, their rows lapse: <bound> of <count>, <silences>
    Given <count> first upstreams and a route that allows <bound>
    When rows lapse in an outage, and upstreams fall silent for a second after five events: <silences>
    Then its caller got the whole stream
    And it was executed by no more than <bound> upstreams

    Examples:
      | bound | count | silences                   |
      | 1     | 2     | the first one              |
      | 2     | 3     | two, one after the other   |
      | 2     | 4     | three, one after the other |

  # Guards against a bound that counts upstreams that have ended: their streams would be cut.
  Scenario Outline: Upstreams that end don't count: <bound> of <count>, <ends> end, <moment>
    Given <count> first upstreams and a route that allows <bound>
    When upstreams that run a stream end one after the other <moment>: <ends> of them
    Then its caller got the whole stream, with no pause over 0.2 seconds

    Examples:
      | bound | count | ends | moment                 |
      | 1     | 2     | 1    | before its first event |
      | 1     | 2     | 1    | after five events      |
      | 2     | 4     | 3    | after five events      |
      | 3     | 5     | 4    | after five events      |

  # Guards against a stream that is cut without asking for a retry once its pause exceeds a second.
  Scenario Outline: An upstream is silent for a while and then ends: <bound> of <count>, <seconds> s
    Given <count> first upstreams and a route that allows <bound>
    When upstreams that run a stream are silent for <seconds> seconds after five events, and end
    Then its caller got the whole stream

    Examples:
      | bound | count | seconds |
      | 1     | 2     | 0.8     |
      | 1     | 2     | 1.2     |
      | 2     | 3     | 1.2     |

  # Guards against a stream that stays at a host that went dark until the deadline of a patient caller.
  Scenario Outline: Upstreams that go dark for good count for some seconds: <bound> of <count>, <dark> dark
    Given <count> first upstreams and a route that allows <bound>
    When upstreams that run a stream go dark after five events, <gap> seconds apart: <dark> of them
    Then its caller got the whole stream, with no pause over <pause> seconds

    Examples: The bound is reached
      | bound | count | dark | gap | pause |
      | 1     | 2     | 1    | 0   | 5     |
      | 2     | 4     | 2    | 0   | 5     |

    Examples: It isn't, or the first one has been dark for long
      | bound | count | dark | gap | pause |
      | 2     | 4     | 1    | 0   | 0.5   |
      | 2     | 4     | 2    | 5   | 0.5   |

  # Guards against a sound upstream that is taken out of the count, since its probes fail for three
  # seconds, though events came from it meanwhile.
  Scenario: An upstream that answers no probe but sends events counts
    Given 2 first upstreams and a route that allows 1
    When the upstream of a stream answers no query for six seconds, and sends events every 0.7 seconds
    Then its caller got the whole stream
    And it was executed by no more than 1 upstreams

  # Guards against retries that are spent at once at the one upstream that is left.
  Scenario: A stream isn't sent again to an upstream where it failed without an event
    Given 1 first upstreams and a route that allows 1
    When that upstream resets the connection of each stream before its first event
    Then it executed the stream once

  # Guards against a handover to a peer that counted as one upstream, whatever the peer had used before
  # it was lost.
  Scenario Outline: Peers that are lost with a request: <route>, <bound> allowed, <loss> after <silences>
    Given 3 gateway processes, 6 first upstreams and routes that allow <bound>
    When <route> requests of a partitioned process are handed over, and <silences> runners of each are silent
    And each peer is then <loss>
    Then no request was executed by more than <bound> upstreams

    Examples:
      | route  | bound | silences | loss   |
      | stream | 2     | 0        | killed |
      | stream | 2     | 1        | killed |
      | stream | 2     | 1        | silent |
      | stream | 3     | 1        | killed |
      | stream | 3     | 2        | killed |
      | stream | 3     | 2        | silent |
      | again  | 2     | 1        | killed |
      | again  | 3     | 2        | killed |

  # Guards against upstreams that refused a request and would get it from the next peer.
  Scenario: A peer that is lost had been refused by other upstreams
    Given 3 gateway processes, 3 first upstreams and routes that allow 1
    When all but one first upstream refuse a stream that is handed over, and its peer is then killed
    Then no request was executed by more than 1 upstreams

  # Guards against a refused connection that counts as the end of an upstream that still answers.
  Scenario: New connections to an upstream are refused while open ones live
    Given 3 gateway processes, 3 first upstreams and routes that allow 1
    When new connections to an upstream are refused, and it is silent for a second
    Then no request was executed by more than 1 upstreams

  # Guards against events that take an upstream out of the count that may have executed the request.
  Scenario Outline: What counts against the bound: <events>
    Given a request that <allowed> upstreams may execute
    When this happens: <events>
    Then <left> further ones may execute it, and again <again>

    Examples: At one process
      | allowed | events                            | left | again |
      | 2       | sent to a                         | 1    | a     |
      | 2       | sent to a, sent to a              | 1    | a     |
      | 2       | sent to a, refused by a           | 2    | none  |
      | 2       | sent to a, sent to a, refused by a | 1   | a     |
      | 2       | sent to a, sent to b              | 0    | a b   |
      | 2       | sent to a, sent to b, a ends      | 1    | b     |
      | 2       | a ends, sent to a, sent to b      | 0    | a b   |

    Examples: Before and after handovers
      | allowed | events                                         | left | again |
      | 2       | peer lost, granted 2, named none               | 0    | none  |
      | 2       | peer lost, granted 2, named a                  | 0    | a     |
      | 2       | peer lost, granted 1, named a                  | 1    | a     |
      | 3       | sent to a, peer lost, granted 2, named a b     | 0    | a b   |
      | 2       | peer lost, granted 2, named a, a ends          | 0    | none  |
      | 3       | handed over by a, granted 2                    | 2    | a     |
      | 3       | handed over by a, granted 1, sent to a         | 1    | a     |
      | 3       | handed over by a, granted 1, sent to b         | 0    | a b   |
      | 3       | handed over by a, granted 1, sent to b, b ends | 1    | a     |
      | 3       | handed over by a, granted 1, sent to b, a ends | 0    | b     |
