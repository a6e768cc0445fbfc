Feature: A process that is partitioned from upstreams serves its callers through its peers

  # Guards against refusing callers of a process that reaches no upstream while its peers do.

  Scenario Outline: Callers of partitioned processes are served: <names>, <how>
    Given 3 gateway processes in two failure domains
    When <names> are partitioned from all upstreams: <how>
    Then they serve at least two thirds as often as the others from 3 seconds after the start
    And no call that must not be repeated is executed twice
    And no request is refused that an upstream executed
    And all callers are served once the upstreams are reachable again

    Examples:
      | names     | how                   |
      | g0        | silent                |
      | g0        | reset                 |
      | g0        | kept connections live |
      | g0        | kept connections hang |
      | g0 and g1 | silent                |
      | g0 and g1 | reset                 |
      | g0 and g1 | kept connections live |
      | g0 and g2 | silent                |

  Scenario Outline: Callers are served although most processes are partitioned: <how>
    Given 7 gateway processes in two failure domains
    When g0 and g1 and g2 and g3 and g4 are partitioned from all upstreams: <how>
    Then they serve at least two thirds as often as the others from 3 seconds after the start
    And no call that must not be repeated is executed twice
    And no request is refused that an upstream executed
    And all callers are served once the upstreams are reachable again

    Examples:
      | how                   |
      | silent                |
      | reset                 |
      | kept connections live |

  Scenario Outline: Callers are served by a process that misses one service or domain: <what>, <how>
    Given 3 gateway processes in two failure domains
    When g0 and g1 are partitioned from the upstreams <what>: <how>
    Then they serve at least two thirds as often as the others from 3 seconds after the start
    And no call that must not be repeated is executed twice
    And no request is refused that an upstream executed
    And all callers are served once the upstreams are reachable again

    Examples:
      | what        | how    |
      | of llm      | silent |
      | of crm      | silent |
      | of crm      | reset  |
      | in domain x | silent |
      | in domain y | reset  |

  # The peer's part: what it returns, and what happens if it is lost, leaves or can't help.

  Scenario: The response of a peer reaches the caller as the upstream sent it
    Given 3 gateway processes in two failure domains
    And responses of upstreams that look like those of a peer
    When g0 and g1 are partitioned from all upstreams: silent
    Then each response has the headers and the body that its upstream sent

  Scenario Outline: A request that was handed over survives the loss of the peer: <loss>
    Given 3 gateway processes in two failure domains
    When a stream and a call of each kind are handed over to g2, which is then <loss>
    Then the stream reached its caller whole, over the peer that was left
    And the call that must not be repeated isn't reported as not executed
    And no call that must not be repeated is executed twice

    Examples:
      | loss   |
      | killed |
      | silent |

  Scenario: A stream under way looks for a path for as long as its caller waits if peers have none
    Given 3 gateway processes in two failure domains
    When a stream has begun at g0, which is partitioned for a second, and peers find no path either
    Then the stream reached its caller whole

  Scenario: A caller that leaves is known to the peer's upstream at once
    Given 3 gateway processes in two failure domains
    When the caller of a stream that was handed over leaves
    Then no upstream works on its stream half a second later

  Scenario: Where all processes are partitioned, callers are refused at once
    Given 3 gateway processes in two failure domains
    When g0 and g1 and g2 are partitioned from all upstreams: reset
    Then callers that came 3 seconds after the start were refused within 0.2 seconds
    And none was handed over from then on

  # A refusal counts as an arrival, and a peer's first attempt would be charged to no retry budget.
  Scenario: Requests that full upstreams refused are not handed over
    Given 3 gateway processes in two failure domains
    When all upstreams are full and requests keep coming
    Then none was handed over

  Scenario: Requests are not handed over to a process with an older configuration
    Given 3 gateway processes in two failure domains
    When g2 knows an older configuration than g0, which is partitioned from all upstreams
    Then no request was handed over to g2

  # Guards against requests that were sent on open connections which have gone silent, and held until
  # their timeouts, though the partition was known and no peer could take them.
  Scenario Outline: Only a partitioned process knows the newest configuration: <how>
    Given 3 gateway processes in two failure domains
    When g0 knows a newer configuration than its peers, and is partitioned from all upstreams: <how>
    Then each request that came 3 seconds later was served or refused within 0.2 seconds
    And <share> of them were served
    And each refusal asked its caller to return within a third of its time

    Examples:
      | how                   | share |
      | silent                | none  |
      | reset                 | none  |
      | kept connections live | most  |

  # Guards against a refusal while a peer that has just read the configuration can take the request.
  Scenario: A peer reads the newest configuration while a partitioned process refuses its callers
    Given 3 gateway processes in two failure domains
    When g0 knows a newer configuration than its peers for 3 seconds of a partition, then g2 reads it
    Then each request that came after that was served

  Scenario: A caller can't hand a request over itself
    Given 3 gateway processes in two failure domains
    When a caller sends what a process hands over, and headers of a peer's response
    Then the entry refuses the first and serves the second as any other request

  # Guards against taking the own isolation for the loss of upstreams, in plans and in crashes.

  Scenario Outline: Partitioned processes plan nothing and blame no request: <what>, <how>
    Given 3 gateway processes in two failure domains
    When g0 and g1 are partitioned from the upstreams <what>: <how>
    Then nobody planned
    And no request counts as crashing upstreams

    Examples:
      | what        | how                   |
      | of llm      | silent                |
      | of llm      | reset                 |
      | of llm      | kept connections live |
      | of crm      | reset                 |
      | in domain x | silent                |
      | in domain y | reset                 |

  Scenario Outline: Connections that are reset for some processes alone blame no request: <service>
    Given 3 gateway processes in two failure domains
    When connections of g0 and g1 to the upstreams of <service> are reset while requests run
    Then none of them counts as crashing upstreams

    Examples:
      | service |
      | llm     |
      | crm     |

  Scenario Outline: A loss is planned for by a process that reaches the other upstreams: <how>
    Given 3 gateway processes in two failure domains
    When an upstream ends as g0 and g1 become partitioned: <how>
    Then only others planned, within 2 seconds of the removal of its row

    Examples:
      | how    |
      | silent |
      | reset  |

  # What the platform announced with these faults, and no disturbance in its rules.

  Scenario Outline: A sound upstream that is silent for a moment costs no stream: <seconds> seconds
    Given 3 gateway processes in two failure domains
    When a first upstream is silent for <seconds> seconds and goes on
    Then every stream reached its caller whole

    Examples:
      | seconds |
      | 0.6     |
      | 1.0     |
      | 1.5     |

  Scenario: No connection has a user timeout, which would end it whatever its keep-alive probes find
    Then connections that a process opens and accepts have no TCP_USER_TIMEOUT
