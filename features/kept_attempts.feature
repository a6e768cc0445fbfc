Feature: A stream leaves a silent upstream only once another one has its next event

  # Guards against a stream that was ended beside a sound upstream: it had left it when that one fell
  # silent for a second, and the next upstream refused it or the retry budget was spent.
  Scenario Outline: A sound upstream is silent for a second <moment>: <others>, <retries> retries of <bound>
    Given 3 first upstreams and a route that allows <bound>
    When the upstream of a stream falls silent for a second <moment>, with <retries> retries left: <others>
    Then its caller got the whole stream
    And it was executed by no more than <bound> upstreams
    And its arrivals beyond the first are no more than the retries that were spent

    Examples: The others refuse the stream
      | others               | bound | retries | moment                 |
      | the others refuse it | 2     | 1       | before its first event |
      | the others refuse it | 2     | 1       | after five events      |
      | the others refuse it | 2     | 3       | before its first event |
      | the others refuse it | 2     | 3       | after five events      |
      | the others refuse it | 3     | 1       | after five events      |

    Examples: The others fall silent as well
      | others                           | bound | retries | moment                 |
      | the others are silent for longer | 2     | 1       | before its first event |
      | the others are silent for longer | 2     | 1       | after five events      |
      | the others are silent for longer | 3     | 2       | after five events      |

  # Guards against events of two upstreams in one answer, and against one that works on for nobody.
  Scenario Outline: Another upstream has the next event <seconds> seconds after the silent one goes on
    Given 3 first upstreams and a route that allows 2
    When the upstream of a stream is silent, and another one has its next event <seconds> seconds after it
    Then its caller got the whole stream
    And one upstream ran it to its end, and the other one stopped within half a second

    Examples:
      | seconds |
      | -0.4    |
      | 0       |
      | 0.4     |

  # Guards against a retry that is spent although the upstream goes on before another one was asked.
  Scenario: A stream whose upstream goes on before another one takes requests spends no retry
    Given 1 first upstreams and a route that allows 2
    When the upstream of a stream falls silent for a second after five events, with 3 retries left: there are none
    Then its caller got the whole stream
    And no retry was spent

  # Guards against a stream that waits for the upstream that it has left because of a host behind it,
  # while another host has taken that one's place.
  Scenario Outline: A host behind the only first upstream is lost, and replaced after <seconds> seconds
    Given a first upstream, and a host behind it
    When that host is lost after five events, and another one holds its layers after <seconds> seconds
    Then its caller got the whole stream, with no pause over <pause> seconds

    Examples:
      | seconds | pause |
      | 0.2     | 0.5   |
      | 1.0     | 1.3   |

  # Guards against a retry that other streams lack while nothing can be sent.
  Scenario: A stream that waits for its silent upstream alone keeps no retry
    Given 1 first upstreams and a route that allows 2
    When the upstream of a stream is silent for four seconds after five events, with 1 retries left
    Then it kept no retry after three seconds

  # Guards against a stream that is cut beside its sound upstream: that one was left for a new attempt
  # at the same upstream, on another connection, before it had room for that one.
  Scenario Outline: A sound upstream holds a stream back and has no room: <count>, <seconds> s
    Given <count> first upstreams and a route that allows 2
    When the upstream of a stream sends no event for <seconds> seconds, but answers queries, and all are full
    Then its caller got the whole stream
    And it was executed by no more than 2 upstreams
    And its arrivals beyond the first are no more than the retries that were spent
    And its arrivals are at least 0.1 seconds apart

    Examples:
      | count | seconds |
      | 1     | 2.6     |
      | 1     | 3.5     |
      | 1     | 5       |
      | 2     | 2.6     |
      | 2     | 3.5     |
      | 2     | 5       |
      | 3     | 2.6     |
      | 3     | 3.5     |
      | 3     | 5       |

  # Guards against an upstream that works twice on one stream, on a connection that was left as well.
  Scenario: An upstream that holds a stream back accepts it again on another connection
    Given 1 first upstreams and a route that allows 2
    When the upstream of a stream sends no event for 3.5 seconds, but answers queries, and has room
    Then its caller got the whole stream
    And its upstream had 2 arrivals of it, and one run in progress at the end of the pause
