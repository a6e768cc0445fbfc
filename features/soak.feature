Feature: The real processes under injected faults, drawn from a seed

  Scenario: A short soak without a violation
    When the soak runs seed 7 with faults for 4 seconds
    Then it reports no violation

  # Guards against requests that reach upstreams during a backoff or after a leaving notice. Without
  # such notices the soak doesn't detect them.
  Scenario: Upstreams that ask for a backoff or announce their shutdown in answers get no further requests
    When the soak runs seed 5 for 4 seconds with notices of upstreams as the only faults
    Then it reports no violation
    And it checked backoffs that upstreams had asked for

  # Guards against a request that crashes every upstream that executes it. Without such requests the
  # soak doesn't detect it.
  Scenario: Requests that crash their upstreams are quarantined, and other callers are served
    When the soak runs seed 2 for 5 seconds with requests that crash upstreams as the only faults
    Then it reports no violation
    And it checked upstreams that requests had crashed

  # Guards against retries of several processes that exceed the budget of all, also after restarts.
  # Without phases in which all runners refuse, the soak doesn't use the budget up.
  Scenario: All entries together keep to the retry budget while every runner refuses
    When the soak runs seed 3 for 5 seconds with phases of refusals and restarts as the only faults
    Then it reports no violation
    And it checked retries

  # Guards against refusing urgent requests for load while lesser ones begin in the same process.
  # Without reports of full runners, no request of the soak waits.
  Scenario: Urgent requests go first while all runners report that they are full
    When the soak runs seed 5 for 8 seconds with reports of full runners as the only faults
    Then it reports no violation
    And it checked refusals for load

  # Guards against sending different requests that share a part which crashes runners.
  Scenario: A part of prompts that crashes runners is quarantined, whatever requests hold it
    When the soak runs seed 1 for 8 seconds with parts that crash upstreams as the only faults
    Then it reports no violation
    And it checked upstreams that a part had crashed

  # Guards against treating a malformed answer as one that was cut by its connection, and against
  # checking nothing after a connection is closed: a chunk without a head passed unnoticed.
  Scenario: A caller of the soak rejects every answer that a strict client rejects
    When a caller of the soak receives an answer and then its connection is closed
      | answer                    | bytes                                                | verdict        |
      | nothing                   |                                                      | cut            |
      | a part of a head          | HTTP/1.1 200 \r\nx-requ                              | cut            |
      | a head alone              | {head}                                               | cut            |
      | some events               | {head}{1}{2}                                         | cut            |
      | a part of an event        | {head}{1}{half 2}                                    | cut            |
      | the whole answer          | {head}{all}{end}                                     | whole          |
      | a refusal                 | HTTP/1.1 503 \r\nContent-Length: 2\r\n\r\nno         | whole          |
      | a chunk without a head    | {1}{2}                                               | no HTTP answer |
      | half an event, then again | {head}{1}{half 2}{2}                                 | no HTTP answer |
      | a half closed as a chunk  | {head}{1}{half 2 as chunk}                           | part           |
      | an event twice            | {head}{1}{1}                                         | lost, doubled  |
      | an event left out         | {head}{1}{3}                                         | lost, doubled  |
      | an early end              | {head}{1}{end}                                       | ended as whole |
      | a head behind a cut       | {head}{1}{head}                                      | no HTTP answer |
      | a second answer behind    | {head}{all}{end}{head}                               | no HTTP answer |
      | no length                 | HTTP/1.1 200 \r\n\r\nid                              | no HTTP answer |
      | two lengths               | HTTP/1.1 200 \r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nno | no HTTP answer |
      | a trailer                 | {head}{all}0\r\nx: 1\r\n\r\n                         | no HTTP answer |
      | another's request id      | HTTP/1.1 503 \r\nX-Request-Id: r2\r\nContent-Length: 2\r\n\r\nno | request id |
      | no seal                   | HTTP/1.1 200 \r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\nid | seal      |
      | a failure with a seal     | HTTP/1.1 502 \r\nX-Request-Id: r1\r\nX-Response-Seal: seal-r1\r\nContent-Length: 2\r\n\r\nno | 502 carries the seal |
    Then each verdict is as expected, at every position at which the bytes may be split in two
