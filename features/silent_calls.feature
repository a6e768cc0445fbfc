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

  # Guards against the same beside what takes the upstreams, the route or the process away meanwhile.
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
