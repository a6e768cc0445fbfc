Feature: Processes on a machine that was suspended account for the time of the suspension

  # Guards against state that seems younger than it is after a suspension. The monotonic clock doesn't
  # count the time in which a machine is suspended, CLOCK_BOOTTIME and the wall clock do. With all times
  # on the monotonic clock, a key that was revoked meanwhile stayed valid for up to 0.8 of the revocation
  # time more. A process was stopped for 6 s with its monotonic clock stopped, its key was revoked in that
  # time and the store became unavailable: although a revocation must take effect within 3 s, the process
  # served a request with the key after it had resumed.

  @processes
  Scenario: After a suspension a process serves no request with a key that was revoked meanwhile
    When a process and its monotonic clock are stopped for 6 seconds, and a key is revoked
    Then a request with that key isn't served after the process has resumed

  Scenario Outline: A suspension counts towards the age of state and towards deadlines: <what>
    Given two chains of runners beside a plain one
    When the machine is suspended for 6 seconds while <what>
    Then <outcome>

    Examples:
      | what                                            | outcome                                     |
      | the store can't be reached                      | a request that needs a key isn't sent       |
      | the runners have asked for 3 seconds            | the next request is sent                    |
      | a connection is opened for a call of 1 second   | that call isn't sent                        |
      | a runner is suspected for 4 seconds             | that runner is used again                   |

  Scenario: A suspension counts towards the staleness of what a peer has sent before
    Given 6 processes of one domain over one store
    When the machine of one with a source is suspended for 6 seconds with a frame in flight
    Then its staleness has grown by 6 seconds

  Scenario: A lease that expired during a suspension is not held
    When the holder of a lease is suspended for 7 seconds
    Then it holds no lease until it has acquired a new one

  Scenario: The programs run on a clock that counts suspensions
    Then each program runs on a clock that continues while the monotonic one is stopped
