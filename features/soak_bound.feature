Feature: The soak's judge of the upstreams that a request runs on, and sound runners that fall silent

  # Guards against a soak that reports nothing while requests run on more upstreams than their routes
  # allow, and against one that counts runners that have ended or been cut off. Silence is neither.
  Scenario: A run counts unless its runner ends or is cut off before the end of the call
    When a call is sent at 100 s, and runners record its runs
      | case                              | runs                                             | ended                | cut             | call end | bound | count | verdict |
      | one runner of one                 | la0.0@1 100.1                                    |                      |                 | 102      | 1     | 1     | at      |
      | one runner of two                 | la0.0@1 100.1                                    |                      |                 | 102      | 2     | 1     | below   |
      | two of two                        | la0.0@1 100.1, la1.0@1 100.6                     |                      |                 | 102      | 2     | 2     | at      |
      | two of one                        | la0.0@1 100.1, la1.0@1 100.6                     |                      |                 | 102      | 1     | 2     | over    |
      | three of two, all sound or silent | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      |                 | 102      | 2     | 3     | over    |
      | three of three                    | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      |                 | 102      | 3     | 3     | at      |
      | again at the same runner          | la0.0@1 100.1, la1.0@1 100.6, la0.0@1 101.1      |                      |                 | 102      | 2     | 2     | at      |
      | a runner ended in between         | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      | la0.0@1 101.5        |                 | 102      | 2     | 2     | at      |
      | a runner ended after the call     | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      | la0.0@1 102.1        |                 | 102      | 2     | 3     | over    |
      | started again under its id        | la0.0@1 100.1, la1.0@1 100.6, la0.0@2 101.1      | la0.0@1 100.7        |                 | 102      | 2     | 2     | at      |
      | started again under a new id      | la0.0@1 100.1, la1.0@1 100.6, la0.1@2 101.1      | la0.0@1 100.7        |                 | 102      | 2     | 2     | at      |
      | both incarnations ended           | la0.0@1 100.1, la1.0@1 100.6, la0.0@2 101.1      | la0.0@1 100.7, la0.0@2 101.2 |         | 102      | 2     | 1     | below   |
      | another incarnation ended         | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      | la0.0@2 101.5        |                 | 102      | 2     | 3     | over    |
      | its link cut in between           | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 101 101.5   | 102      | 2     | 2     | at      |
      | its link reset in between         | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 101 101     | 102      | 2     | 2     | at      |
      | its link cut since before the run | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 99 101      | 102      | 2     | 2     | at      |
      | held back by a cut until the run  | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 99 100.55   | 102      | 2     | 2     | at      |
      | its link cut before the run       | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 99 100.4    | 102      | 2     | 3     | over    |
      | its link cut after the call       | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | la1 102.1 103   | 102      | 2     | 3     | over    |
      | the link of another cut           | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      | lb1 101 101.5   | 102      | 2     | 3     | over    |
      | one ended, one cut, of four       | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1, la3.0@1 101.2 | la0.0@1 101 | la1 101 101    | 102      | 2     | 2     | at      |
      | a run that begins after the call  | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 102.5      |                      |                 | 102      | 2     | 3     | over    |
      | a runner ended before that run    | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 102.5      | la0.0@1 102.2        |                 | 102      | 2     | 2     | at      |
      | given up by the caller            | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      |                      |                 | given up | 2     | 3     | over    |
      | given up, a runner ended before   | la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1      | la0.0@1 107.9        |                 | given up | 2     | 2     | at      |
      | runs of another request           | other la0.0@1 100.1, la1.0@1 100.6, la2.0@1 101.1 |                     |                 | 102      | 1     | 2     | over    |
    Then the soak's judge counts the upstreams of each of them as told

  # Guards against reporting the few requests that may exceed the bound, and against passing over more.
  Scenario: More than three requests on too many upstreams break a promise
    Then the soak reports this many of the requests that ran on too many upstreams
      | over | reported |
      | 0    | 0        |
      | 3    | 0        |
      | 4    | 4        |

  # Guards against calling a stream ended by silence whose caller left, or that ended for another
  # reason, and against passing over one that was ended early.
  Scenario: A stream that ends beside silent runners needs another reason than their silence
    When streams that are sent at 100 s end while sound runners are silent
      | case                             | route   | status | how    | ended | gap | arrived | verdict |
      | whole                            | stream  | 200    | whole  | 101   | 0.5 | yes     | kept    |
      | whole after a long gap           | stream  | 200    | whole  | 104   | 2.5 | yes     | kept    |
      | cut                              | stream  | 200    | closed | 101.5 | 1.2 | yes     | ended   |
      | cut, may run only once           | fragile | 200    | closed | 101.5 | 1.2 | yes     | ended   |
      | reset before its answer          | stream  | 0      | reset  | 101.5 | 1.5 | yes     | ended   |
      | a gateway error                  | stream  | 502    | whole  | 101.5 | 1.5 | yes     | ended   |
      | a gateway error without a runner | stream  | 502    | whole  | 101.5 | 1.5 | no      | ended   |
      | refused                          | stream  | 503    | whole  | 101.5 | 1.5 | yes     | kept    |
      | refused for its rate             | stream  | 429    | whole  | 101.5 | 1.5 | no      | kept    |
      | cut after the client's gap       | stream  | 200    | closed | 103   | 2.1 | yes     | kept    |
      | the caller left                  | stream  | 200    | left   | 101.5 | 1.2 | yes     | kept    |
      | time limit reached               | stream  | 200    | closed | 105   | 1.2 | yes     | kept    |
      | crossed a close                  | stream  | 0      | closed | 100.1 | 0.1 | no      | kept    |
      | no stream                        | again   | 502    | whole  | 101.5 | 1.5 | yes     | kept    |
    Then the soak reports those of them that silence ended

  # Guards against passing over streams that end beside planned work, when it gives no reason, and
  # against blaming silence for what the end of a grace period ended.
  Scenario: A stream that ends beside silent runners and planned work needs a reason from either
    When streams that are sent at 100 s end while sound runners are silent
      | case                            | route  | status | how    | ended | gap | arrived | planned      | work      | verdict |
      | nothing planned                 | stream | 200    | closed | 101.5 | 1.2 | yes     |              | 100.1 102 | ended   |
      | a change                        | stream | 200    | closed | 101.5 | 1.2 | yes     | change 100.2 | 100.1 102 | ended   |
      | a reload                        | stream | 200    | closed | 101.5 | 1.2 | yes     | reload 100.2 | 100.1 102 | ended   |
      | an early end after a stop       | stream | 200    | closed | 101.5 | 1.2 | yes     | stop 99      | 100.1 102 | ended   |
      | at work at the end of the grace | stream | 200    | closed | 104.3 | 1.2 | yes     | stop 100     | 100.1 105 | kept    |
      | the same, a change as well      | stream | 200    | closed | 104.3 | 1.2 | yes     | stop 100, change 103 | 100.1 105 | kept |
      | no longer at work then          | stream | 200    | closed | 104.3 | 1.2 | yes     | stop 100     | 100.1 104 | ended   |
      | sent long after SIGTERM         | stream | 200    | closed | 101.5 | 1.2 | yes     | stop 96.9    | 100.1 105 | ended   |
      | a stop of another entry         | stream | 200    | closed | 104.3 | 1.2 | yes     | stop-e1 100  | 100.1 105 | ended   |
    Then the soak reports those of them that silence ended

  # Guards against streams that are ended, or run on more upstreams than their routes allow, since
  # sound upstreams fall silent for about a second and go on.
  Scenario Outline: Streams go on within their bound beside sound upstreams that fall silent: <bound>
    When the soak runs seed <seed> for 5 seconds with silent upstreams and <bound> as the only faults
    Then it reports no violation
    And it checked requests at their upstream bound
    And it checked silences of sound upstreams

    Examples:
      | seed | bound      |
      | 1    | 1 attempt  |
      | 3    | 2 attempts |

  # Guards against requests that were read whole and end with neither an answer nor a refusal when
  # processes stop, reload or change their configuration while sound upstreams fall silent.
  Scenario: Planned work beside sound upstreams that fall silent loses no request
    When the soak runs seed 6 for 7 seconds with planned work and silent upstreams as the only faults
    Then it reports no violation
    And it checked silences of sound upstreams
    And it checked calls around planned work
