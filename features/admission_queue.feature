Feature: Requests wait in a process for a place, and never get lost there

  # Guards against a delay, or a wait, that admission control adds where capacity is sufficient.
  Scenario: Without a shortage a request begins as fast as without admission control
    Given two chains of runners with admission control
    When the same requests are sent with it and without it
    Then they took the same time and the log has no line about admission

  Scenario: Waiting requests begin in the order of their priority once streams end
    Given two chains of runners with admission control
    When the chains are full, callers of priority 2, 1 and 0 wait, and streams end one by one
    Then they began in the order 0, 1, 2 and got their whole answers

  # Guards against requests that are dropped, or run after their refusal, while they wait.
  Scenario Outline: While requests wait, <event>
    Given two chains of runners with admission control
    When the chains are full, three callers wait, and <event>
    Then the waiting callers got <result>, within <seconds> seconds
    And the queue is empty, and no refused or abandoned request was executed

    Examples:
      | event                                 | result                | seconds |
      | the first caller leaves               | nothing, 200, 200     | 1.5     |
      | the process stops                     | 503, 503, 503         | 0.3     |
      | all paths are lost                    | 503, 503, 503         | 0.6     |
      | no capacity comes                     | 429, 429, 429         | 2.0     |
      | the settings turn admission off       | 200, 200, 200         | 1.5     |
      | the settings allow one waiting request | 200, 429, 429        | 1.5     |

  # Guards against refusals for load whose cause the log doesn't show.
  Scenario: The log of a refusal for load tells the time, those that waited and the known room
    Given two chains of runners with admission control
    When the chains are full, three callers wait, and no capacity comes
    Then each refusal is logged with its age, those that waited by priority, and a full upstream

  # Guards against refusals that only the choice of the first upstream caused.
  Scenario Outline: A request whose first upstream refused it waits for its retry: <case>
    Given two chains of runners with admission control and no retry until <seconds> s have passed
    When a caller asks for a stream, and its first upstream refuses it
    Then the caller got <status> within <most> seconds

    Examples:
      | case                      | seconds | status | most |
      | a retry is earned in time | 0.15    | 200    | 0.9  |
      | it isn't                  | 5       | 503    | 0.5  |

  # Guards against urgent requests that are refused for load, since an upstream refused them late,
  # while lesser ones get the places: at first those that came meanwhile, then those that wait.
  Scenario Outline: A request that an upstream refuses late has its place by rank: <case>
    Given two runners that begin streams in one failure domain, with admission control
    When an upstream refuses an urgent request after 0.7 s, and a lesser one comes <lesser> s after it
    And the other runner has room <room> s after it
    Then the requests that began are <begun>, the others got 429, within <most> s

    Examples:
      | case                 | lesser | room | begun  | most |
      | there is room        | 0.2    | 0    | p2, p0 | 1.3  |
      | both wait for room   | 0.6    | 0.9  | p0, p2 | 1.9  |
      | no room comes        | 0.6    | 3    | none   | 2.2  |

  # Guards against refusals that blame a queue, though the time went by at an upstream.
  Scenario: A request that an upstream refuses once its caller's time is over isn't refused for load
    Given two runners that begin streams in one failure domain, with admission control
    When an upstream refuses an urgent request after 1.9 s, and a lesser one comes 0.6 s after it
    And the other runner has room 0 s after it
    Then the urgent request is told that the upstream refused it, within 2 s, and spent no retry

  # Guards against holding streams back that need no order: a queue at the upstreams, which batch,
  # serves more of them than shares of the free slots.
  Scenario: Only streams of a service whose routes differ in priority wait in the process
    Given two chains of runners with admission control
    Then at full chains 3 streams wait in the process
    Given the stream routes of the service have one priority
    Then at full chains 0 streams wait in the process
