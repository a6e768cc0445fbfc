Feature: Crashes are counted also where a proxy accepts connections for a crashed upstream

  # Guards against crashes that aren't counted because a proxy accepted the probe's connection. A probe
  # that found the connection open after 10 ms called the upstream alive, and the broken attempt was
  # dropped: one request went on crashing upstreams (`broke-off pulse=alive`, `upstream-restarted`).
  Scenario Outline: Crashed upstreams restart under <ids>: <route>, a proxy that resets every <close> seconds
    Given three gateway processes, and upstreams behind proxies that reset connections every <close> seconds
    And crashed upstreams restart under <ids>
    When a crashing request for <route> is sent every 0.7 seconds for 30 seconds, while all is well
    Then it reached upstreams at most 3 times later than 3 seconds after the third crash

    Examples:
      | ids         | route  | close |
      | the same id | once   | 0.005 |
      | the same id | once   | 0.03  |
      | the same id | again  | 0.005 |
      | the same id | again  | 0.03  |
      | the same id | stream | 0.03  |
      | another id  | once   | 0.005 |
      | another id  | once   | 0.03  |
      | another id  | again  | 0.005 |
      | another id  | again  | 0.03  |
      | another id  | stream | 0.03  |

  # Guards against crashes that aren't counted because the end of an upstream wasn't noticed. Only a row
  # that was deleted under its own address counted as an end: where an upstream restarted under another id,
  # its new row took the address, and the later deletion of the old one was ignored (`broke-off
  # pulse=silent`, then neither `upstream-gone` nor `upstream-restarted`).
  Scenario Outline: The crash of an upstream is counted when its row <what>: <counted>
    Given three gateway processes, and upstreams behind proxies that reset connections every 0.005 seconds
    When a request crashes a plain upstream, and 1 second later its row <what>
    Then the crash is <counted> at each process

    Examples:
      | what                                              | counted     |
      | is deleted                                        | counted     |
      | is missing from a snapshot                        | counted     |
      | isn't there after a store outage                  | counted     |
      | returns late after a store outage                 | not counted |
      | loses its address to the row of another upstream  | counted     |
      | is written again                                  | not counted |

  # Guards against crashes that aren't counted because the restart is known before the break. A stream that
  # the restart of its upstream interrupted was not reported, since its upstream was no longer listed: one
  # request crashed 402 upstreams (`first-upstream-lost how=restarted`, `try-interrupted`).
  Scenario: The connection stays open and silent until the restart of the upstream is known
    Given three gateway processes, and upstreams behind proxies that reset connections every 0.005 seconds
    And crashed upstreams restart early under the same id, and their connections stay open
    When a crashing request for stream is sent every 0.7 seconds for 30 seconds, while all is well
    Then it reached upstreams at most 3 times later than 3 seconds after the third crash

  # Guards against probes that attribute a crash to the wrong attempts. A probe that found an upstream
  # ended counted only for the attempt that it followed, which had been sent after the end, while those
  # that had broken off before stayed deferred. An answer of the next start then dropped them.
  Scenario Outline: A probe finds that the upstream has ended: <case>
    Given attempts <runs> at an upstream, each from its start to its break in seconds
    And probes find that the upstream has ended from <dead> seconds on
    And the upstream answered other requests at <answers> seconds
    When the row of the upstream is removed after 3 seconds
    Then the crash is attributed to <ended>

    Examples:
      | case                                     | runs                           | dead | answers | ended |
      | at once                                  | a 1.0-1.2, b 1.1-1.25          | 1.0  | none    | a, b  |
      | for the last one that was running        | a 1.0-1.2, b 1.1-1.25          | 1.22 | none    | a, b  |
      | for one that was sent later              | a 1.0-1.2, c 1.5-1.6           | 1.5  | none    | a     |
      | for one sent later, the next one answers | a 1.0-1.2, c 1.5-1.6           | 1.5  | 2.0     | a     |
      | for one sent later, more follow          | a 1.0-1.2, c 1.5-1.6, d 1.7-2  | 1.5  | none    | a     |

  # Guards against ignoring crashes of the next start under the same id. Until its row is known, it executes
  # requests that are addressed to the start before it; their breaks counted as later than the crash.
  Scenario Outline: The next start answers before its row is known: <case>
    Given attempts <runs> at an upstream, each from its start to its break in seconds
    And probes find that the upstream has ended from <dead> seconds on
    And the upstream answered other requests at <answers> seconds
    When the row of the upstream is removed after 3 seconds
    Then the crash is attributed to <ended>

    Examples:
      | case                                  | runs                  | dead | answers | ended |
      | an attempt follows the answer         | a 1.0-1.2, c 1.5-1.6  | 1.0  | 1.4     | a, c  |
      | the answer was under way at the crash | a 1.0-1.2, c 1.5-1.6  | 1.0  | 1.25    | a     |
      | an attempt precedes the answer        | a 1.0-1.2, c 1.25-1.3 | 1.0  | 1.4     | a     |

  # Guards against suspecting requests whose responses a live upstream broke off before it restarted.
  Scenario: Requests aren't refused when live plain upstreams break off responses and restart
    Given three gateway processes, and upstreams behind proxies that reset connections every 0.03 seconds
    And crashed upstreams restart under the same id
    When all callers send the same request while plain upstreams break off responses and restart in turn
    Then no other caller was refused because of crashes
