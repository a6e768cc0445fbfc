Feature: A plain call whose upstream is silent for a second, and goes on, is answered

  # Guards against a call that is given up although its upstream goes on: no upstream answers a probe for
  # a moment, which looks like a partition, and there is no retry or no other upstream.
  Scenario Outline: A <what> is silent: <silent> of <count>, <processes> processes, <retries> retries
    Given <processes> processes, and <count> plain upstreams
    When <silent> of them are silent for a second as a <what>, with <retries> retries
    Then all calls were answered, with 1 to 3 upstreams allowed
    And no more upstreams executed them than allowed

    Examples:
      | what    | processes | count | silent | retries |
      | process | 1         | 3     | 3      | no      |
      | host    | 1         | 1     | 1      | no      |
      | host    | 1         | 1     | 1      | many    |
      | host    | 1         | 3     | 1      | no      |
      | host    | 1         | 3     | 3      | no      |
      | host    | 1         | 3     | 3      | many    |
      | host    | 3         | 1     | 1      | no      |
      | host    | 3         | 3     | 3      | no      |
      | host    | 3         | 3     | 3      | many    |

  # Guards against a second attempt that the first one prevents, that isn't paid, or that leaves the first
  # one running.
  Scenario Outline: The upstream of a call stays silent, another one answers: <processes> processes
    Given <processes> processes, and 3 plain upstreams
    When 3 of them are silent for a second as a host, and that of a call for 4 s
    Then the call was answered within 2.5 seconds by another upstream
    And the first one's run was cancelled within half a second of the answer
    And <retries> retries were spent

    Examples: At three processes, the peer spends another on an upstream that it doesn't reach either
      | processes | retries |
      | 1         | 1       |
      | 3         | 2       |

  # Guards against arrivals that nobody pays: a handover is cancelled by the answer of the first upstream
  # while the peer has the call.
  Scenario: A peer has the call as its silent upstream answers
    Given 3 processes, and 3 plain upstreams
    When 3 of them are silent for 0.7 s as a host, with calls that take 1.5 s
    Then the arrivals beyond the first of each call are no more than the retries that were spent

  # Guards against calls that are given up beside what takes the upstreams, the route or the process away meanwhile.
  Scenario Outline: All hosts are silent while <beside>: <processes> processes, <retries> retries
    Given <processes> processes, and 3 plain upstreams
    When 3 of them are silent for a second as a host, with <retries> retries, while <beside>
    Then all calls were answered, with 1 to 3 upstreams allowed
    And no more upstreams executed them than allowed

    Examples:
      | processes | retries | beside                     |
      | 1         | no      | their rows go              |
      | 1         | many    | their rows go              |
      | 3         | many    | their rows go              |
      | 1         | no      | the routes are dropped     |
      | 3         | many    | the routes are dropped     |
      | 1         | no      | the process stops          |
      | 3         | many    | the process stops          |
