Feature: A process that is partitioned from upstreams serves its callers through its peers

  # Guards against refusing callers of a process that reaches no upstream: of nine processes six were
  # partitioned from all upstreams, with the store, the peers and the callers in reach. They refused
  # 92 of 93 requests as `no-route`, while the other three served 91 of 92.

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
