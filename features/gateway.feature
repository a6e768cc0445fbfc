Feature: The gateway, checked by the records of runners and the responses to callers

  Scenario: A request is forwarded byte for byte and its response is returned unchanged
    Given two chains of runners
    When a caller asks for a stream with forged headers
    Then the runner received the request as it was sent, with the account and without the key
    And the caller got every event once and the runner's seal

  Scenario Outline: An upstream <fault> in the middle of a stream
    Given two chains of runners
    When the <part> upstream of a stream <fault> after 5 events
    Then the caller got every event once, with no pause over <pause> seconds
    And every event passed each layer once

    Examples:
      | part   | fault        | pause |
      | first  | dies         | 0.2   |
      | second | dies         | 0.2   |
      | first  | goes dark    | 0.5   |
      | second | goes dark    | 0.3   |

  Scenario: A stream stays at an upstream that keeps serving although its row is missing
    Given two chains of runners
    When the first upstream's row is removed after 5 events and it then pauses for 0.15 seconds
    Then the caller got every event once, with no pause over 0.2 seconds
    And one upstream ran the stream

  Scenario: A stream is moved away from an upstream that dies after its row was removed
    Given two chains of runners
    When the second upstream's row is removed after 5 events and it then goes dark
    Then the caller got every event once, with no pause over 0.6 seconds

  Scenario: A blocking upstream that answers probes doesn't count as lost
    Given two chains of runners
    When the second upstream blocks streams after 5 events but answers probes
    Then the caller got every event once, with no pause over 0.6 seconds
    And no order was given

  Scenario: A stream stays at a silent upstream if the retry budget is spent
    Given two chains of runners
    When the first upstream is silent for 0.8 seconds after 5 events and the retry budget is spent
    Then the caller got every event once, with no pause over 0.9 seconds
    And one upstream ran the stream

  Scenario: The suspicion of an upstream that was silent for a moment ends once it answers
    Given two chains of runners
    When the second upstream is silent for 0.1 seconds after 5 events
    Then the caller got every event once, with no pause over 0.3 seconds
    And the suspicion has ended and no upstream was ordered to unload its layers

  Scenario Outline: Upstreams of a stalled stream are probed unless another stream passes them: <case>
    Given a stalled stream over a, b and c
    And another one over <path> that <state>
    When the streams are monitored for 0.3 seconds
    Then the probed upstreams are <asked>

    Examples:
      | case                   | path    | state       | asked |
      | the other goes on      | a, b, c | goes on     | none  |
      | the other passes one   | a, b, d | goes on     | c     |
      | the other stands too   | a, b, c | stands still | b, c |
      | the other is elsewhere | e, f, g | goes on     | b, c  |

  Scenario Outline: A stream is restarted in another domain only if there is room: <running> of 6 slots in use
    Given two chains of runners
    When the second upstream of a stream dies while the other chain executes <running> requests
    Then the caller got every event once, with no pause over 0.3 seconds
    And <count> upstreams ran the stream

    Examples:
      | running | count |
      | 0       | 2     |
      | 5       | 1     |

  Scenario: An interrupted stream waits for a slot while every upstream is full
    Given two chains of runners
    When the first upstream dies after 5 events and the others are full for 0.5 seconds
    Then the caller got every event once, with no pause over 1 seconds

  Scenario: An incomplete event is never forwarded
    Given two chains of runners, the first of which fails within its 5th event
    When a caller asks for a stream
    Then the caller got every event once

  Scenario: A stream that may not be resumed is cut off, never ended as if complete
    Given two chains of runners, the first of which fails within its 5th event
    When a caller asks for a fragile stream
    Then the caller got 4 events and no end

  Scenario: A path is chosen inside the gateway's own domain if possible, else inside another one
    Given two chains of runners
    Then streams run in domain x, and in domain y once x has lost a layer

  Scenario Outline: A call <case>
    Given plain upstreams that <first> and <second>
    When a caller calls <route>
    Then the caller gets <status> and <runs> executions are recorded

    Examples:
      | case                                 | first  | second | route | status | runs |
      | that may be repeated is, after a 500 | fails  | answer | again | 200    | 2    |
      | keeps the upstream's own failure     | fails  | fails  | again | 500    | 2    |
      | that runs once isn't repeated        | reset  | reset  | once  | 502    | 1    |
      | that runs once keeps a 500           | fails  | fails  | once  | 500    | 1    |
      | is tried elsewhere after a promise   | full   | answer | once  | 200    | 1    |
      | is refused where all are full        | full   | full   | once  | 503    | 0    |
      | never gets another request's answer  | foreign | foreign | once | 502    | 1    |
      | that is repeated survives a reset    | reset  | answer | again | 200    | 2    |
      | ends at the route's time             | sleep  | sleep  | once  | 504    | 1    |
      | keeps a failure until its time ends  | fails  | sleep  | again | 500    | 2    |

  # Guards against sending a stream to the same failing upstream until the retry budget is spent, and
  # against replacing a failure that an upstream answered with one of this process.
  Scenario Outline: A stream that fails before its first event: <case>
    Given two chains of runners whose first upstreams <first> and <second>
    When a caller asks for a stream
    Then the caller gets <status> and <runs> executions are recorded

    Examples:
      | case                        | first | second | status | runs |
      | another upstream serves it  | errs  | serve  | 200    | 2    |
      | all upstreams fail          | errs  | errs   | 500    | 2    |
      | the others are full         | errs  | full   | 500    | 1    |
      | the time ends at the second | errs  | hangs  | 500    | 2    |

  Scenario Outline: A request is refused before it is sent: <case>
    Given two chains of runners
    When a caller asks with <case>
    Then the caller gets <status> at once

    Examples:
      | case            | status |
      | an unknown key  | 401    |
      | no such route   | 404    |
      | a large body    | 413    |

  # Guards against late answers of which the log can't tell what they waited for.
  Scenario Outline: The log says what a request waited for when its deadline passed: <case>
    Given two chains of runners and a plain one
    When a caller asks for <route> with a deadline of 1 second and <fault>
    Then the log says that it waited for its <what> for <ms> ms

    Examples:
      | case                    | route   | fault                                | what     | ms   |
      | no event comes          | fragile | all upstreams stand still            | upstream | 1000 |
      | the caller doesn't read | fragile | the caller never reads               | caller   | 980  |
      | nor after a pause       | fragile | the caller never reads and events come after 0.5 s | caller | 500 |
      | no answer comes         | again   | all upstreams stand still            | upstream | 1000 |
      | no token comes          | again   | requests for tokens get no reply     | entry    | 1000 |
      | no token for a stream   | stream  | requests for tokens get no reply     | entry    | 1000 |

  # Guards against a log from which nobody can tell that this process closed a caller's connection in
  # the middle of a stream, and that the timeout of the route, not the caller, set the time.
  Scenario Outline: The log says that a deadline cut an answer, and whose deadline: <case>
    Given two chains of runners and a plain one
    And each route has a timeout of <timeout> ms
    When a caller asks for <route> with a deadline of <deadline> ms, and <fault>
    Then the log says that the limit was the one of the <whose>, <limit> ms on <route>, and cut <cut>

    Examples:
      | case                        | timeout | route  | deadline | fault                       | whose  | limit | cut |
      | the route's, midway         | 300     | stream | 9000     | its upstream then is silent | route  | 300   | yes |
      | the caller's, midway        | 9000    | stream | 300      | its upstream then is silent | caller | 300   | yes |
      | the route's, not begun      | 300     | stream | 9000     | all upstreams stand still   | route  | 300   | no  |
      | the route's, of a plain one | 300     | again  | 9000     | all upstreams stand still   | route  | 300   | no  |
      | the caller's, of a plain one | 9000   | again  | 300      | all upstreams stand still   | caller | 300   | no  |

  # Guards against a fault of this program that closes a caller's connection without an answer, and
  # that the log names without its request.
  Scenario Outline: A request whose handling raises an error is answered, and the log names it: <route>
    Given two chains of runners and a plain one
    When the handling of a <route> request raises an error
    Then its caller gets 502 with reason internal-error
    And the log names the request and the error

    Examples:
      | route  |
      | once   |
      | stream |

  Scenario: A gateway without a configuration refuses requests as not ready
    Given two chains of runners and no configuration
    When a caller asks for a stream
    Then the caller gets 503 at once, with a retry-after value

  Scenario: Without the store, keys are refused shortly before the revocation time is over
    Given two chains of runners
    Then a key is accepted 2 seconds after an outage of the store began, and refused 4.6 seconds after

  Scenario: A removed key is refused once the new desired state applies
    Given two chains of runners
    Then after the key is removed a caller gets 401

  Scenario: An older desired state never replaces a newer one
    Given two chains of runners
    Then version 1 written after version 3 is not applied

  Scenario: The execution is cancelled when its caller disconnects
    Given two chains of runners
    When a caller disconnects in the middle of a stream
    Then the execution was cancelled and no other was started

  Scenario: Rows that lapsed during an outage are kept until two seconds after the store recovered
    Given two chains of runners
    Then streams are served while the rows are missing for 1.5 seconds after the store's return
    And a row still missing 2.5 seconds after it counts as gone

  Scenario Outline: An upstream whose row lapsed is used only as the last resort: <case>
    Given two chains of runners
    When the rows of <lapsed> are missing at the store's return and <back> is back after 0.6 seconds
    Then of 12 streams in the second that follows <before> of the first 6 and <after> of the others pass <lapsed>

    Examples:
      | case                    | lapsed | back   | before | after |
      | the near one is gone    | x2     | nobody | none   | none  |
      | the near one comes back | x2     | x2     | none   | some  |
      | the far one is gone     | y2     | nobody | none   | none  |

  Scenario Outline: Layers of an upstream that was lost during an outage are healed: <case>
    Given two chains of runners
    When the row of x2 is missing at the store's return and x2 <state>
    Then its layers are ordered elsewhere between <least> and <most> seconds after it

    Examples:
      | case            | state       | least | most |
      | gone for good   | is dead     | 0.0   | 1.0  |
      | silent for good | is silent   | 0.2   | 1.0  |
      | living          | answers     | 2.0   | 3.0  |

  Scenario: An upstream whose address another one took over counts as departed
    Given two chains of runners
    Then a stream takes domain y once another upstream has the address of x2

  Scenario Outline: With <queued> requests queued at every first upstream a stream is <outcome>
    Given two chains of runners
    When each first upstream executes 6 requests and <queued> are queued
    Then a stream requested a moment later gets <status>

    Examples:
      | queued | outcome                | status |
      | 0      | served                 | 200    |
      | 6      | refused, told when to come back | 429 |

  Scenario: A stream takes a far slower path if the path in its own domain is full
    Given two chains of runners, the other one 100 times slower
    When the first upstream of its own domain executes 6 requests and 6 are queued
    Then a stream requested a moment later gets 200

  Scenario Outline: With memory for 4 requests beside the weights and <queued> queued a stream is <outcome>
    Given two chains of runners, each with 96 slots and memory for 4 typical requests
    When each first upstream executes 4 requests and <queued> are queued
    Then a stream requested a moment later gets <status>

    Examples:
      | queued | outcome                | status |
      | 0      | served                 | 200    |
      | 4      | refused, told when to come back | 429 |

  Scenario: An upstream that keeps refusing is attempted with a growing backoff
    Given two chains of runners
    When streams are requested every 0.05 seconds for 2 seconds while the first upstream is full
    Then all of them are served and the first upstream refused no more than 7

  Scenario: A leaving upstream gets no new requests
    Given two chains of runners
    Then a stream runs in the other domain once the first upstream's row says that it is leaving

  Scenario: A lost layer is loaded by neighbouring upstreams within two seconds
    Given two chains of runners
    When an upstream of domain x is lost permanently
    Then its neighbours are ordered to load its layers, each order within memory

  Scenario: An upstream that is relocated to a gap unloads its layers at once
    Given upstreams of domain x with room for 2 layers each, one of them redundant
    When the first of them is lost permanently
    Then a redundant one is ordered to load the gap, and to unload its layers at once

  Scenario: A process that is stopping still heals a loss
    Given two chains of runners
    When an upstream of domain x is lost permanently while the process is stopping
    Then its neighbours are ordered to load its layers, each order within memory

  Scenario: Empty upstreams are assigned layers once no more rows are added
    Given 4 empty runners in domain x
    When the rows have been listed for 6 seconds
    Then every layer is held

  Scenario: A fault in a background task is logged, and the task continues
    Given two chains of runners
    Then after a fault in the healer streams are served and a later loss is healed

  Scenario: A number of 5000 digits in a header is ignored
    Given two chains of runners
    When a caller sends a deadline of 5000 digits
    Then the caller got every event once

  Scenario Outline: A malformed <what> is counted and changes nothing
    Given two chains of runners
    Then a malformed <what> is counted and streams are served

    Examples:
      | what          |
      | desired state |
      | runner        |
