Feature: A machine that was suspended knows that time has passed

  # A machine may be suspended for seconds: its steady clock doesn't count that time, CLOCK_BOOTTIME and
  # the time of day do. Every moment was on the steady clock, so that all that a process knew looked
  # younger than it was by the time that it had been suspended: a key that had been taken away meanwhile
  # opened for up to 0.8 of the revocation time more. What settled it was a process that was stopped for
  # 6 s with its steady clock standing, whose key was taken away in that time and which heard no more of
  # the store: with 3 s in which a key must be gone it served a request under it after it woke.

  @processes
  Scenario: A process on a suspended machine serves nothing under a key taken away meanwhile
    When a process is stopped for 6 seconds, its steady clock stands, and a key is taken away
    Then a request under that key isn't served when the process wakes

  Scenario Outline: What is known after a suspension is as old as it is: <what>
    Given two chains of runners beside a plain one
    When the machine is suspended for 6 seconds while <what>
    Then <outcome>

    Examples:
      | what                                            | outcome                                     |
      | the store can't be reached                      | a request that needs a key isn't sent       |
      | the runners have asked for 3 seconds            | the next request is sent                    |
      | a connection is opened for a call of 1 second   | that call isn't sent                        |
      | a runner is suspected for 4 seconds             | that runner is used again                   |

  Scenario: What a peer told before a suspension is as old as it is
    Given 6 processes of one domain over one store
    When the machine of one that asks another is suspended for 6 seconds with a frame in its way
    Then what it knows is 6 seconds old

  Scenario: A lease that lapsed in a suspension is not held
    When the holder of a lease is suspended for 7 seconds
    Then it holds no lease until it has one anew

  Scenario: The programs read a clock that counts suspensions
    Then each program runs on a clock that goes on while the steady one stands
