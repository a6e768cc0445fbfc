Feature: A request that ends the upstreams that run it stops being run

  # One request ended 13 upstreams, another one 12, and each end broke off 20 other streams in the
  # mean. A try that broke off was made again like any other, the upstreams that it had ended did not
  # count against the route's attempts, and its caller's next attempt came under a new id to another
  # process, which knew nothing of it. What settled it were the tries of one request (`last_event=null`
  # says that nothing of an answer had come, at each of 28 ends one to three such streams were there):
  #   9.608 try-failed request=b4e1a instance=i-139bbc8d80 kind=broken last_event=null runs=1
  #   9.718 try-failed request=b4e1a instance=i-1ab4bed49a kind=broken last_event=null runs=2
  #   10.046, 10.225 the same under the id 7ffac at another process, then two more upstreams
  # Nothing tied the two ids together, and nobody counted the ends: with the identity of what was asked
  # in the log they are one request (`crash identity=f2f515e9 ends=1`, `ends=2`), refused from then on.

  Scenario Outline: However often and wherever it comes, three ends are enough: <route>, <circumstance>
    Given three gateway processes and upstreams that some requests crash
    When a crashing request for <route> is sent every 0.7 seconds for 30 seconds, while <circumstance>
    Then it reached upstreams at most 3 times later than 3 seconds after the third crash
    And it crashed at most <most> upstreams

    Examples:
      | route   | circumstance                              | most |
      | stream  | all is well                               | 3    |
      | fragile | all is well                               | 3    |
      | once    | all is well                               | 3    |
      | again   | all is well                               | 3    |
      | stream  | processes don't reach each other          | 3    |
      | once    | processes don't reach each other          | 3    |
      | stream  | the store is dark                         | 3    |
      | stream  | the store is dark at first                | 3    |
      | stream  | processes are killed one after the other  | 3    |
      | once    | processes are killed one after the other  | 3    |
      | stream  | all processes are killed after two ends   | 3    |
      | stream  | no row goes                               | 3    |

  Scenario Outline: Callers of other requests are served beside it: <route>
    Given three gateway processes and upstreams that some requests crash
    When a crashing request for <route> is sent every 0.7 seconds for 30 seconds, among others
    Then no other caller was refused because of crashes
    And every other caller that came 10 seconds after the first crash was served
    And upstreams received only requests that callers sent

    Examples:
      | route  |
      | stream |
      | again  |

  # A plain upstream has no questions that it answers: what it is sent it runs. One whose connection had
  # broken was asked whether it was there as one of layers is, and ran the question.
  Scenario: A plain upstream whose answer broke off is asked nothing
    Given three gateway processes and upstreams that some requests crash
    When the plain upstreams break off every response and keep running
    Then upstreams received only requests that callers sent

  Scenario Outline: Its caller is told at once, and why: <route>
    Given three gateway processes and upstreams that some requests crash
    When a crashing request for <route> is sent every 0.7 seconds for 25 seconds, while all is well
    Then its later callers were refused within 0.01 seconds, because it crashes upstreams

    Examples:
      | route   |
      | stream  |
      | fragile |
      | once    |
      | again   |

  # Callers may send the very same request at the same time. Where two upstreams ended by themselves
  # under runs of it, two ends counted, though no run was sent after the first of them was known: all
  # of its callers were refused for a minute. An end counts on from those known when its run was sent.
  Scenario Outline: A request that ends no upstreams isn't refused: <what>
    Given three gateway processes and upstreams that some requests crash
    When <what>
    Then no other caller was refused because of crashes
    And every other caller that came 6 seconds after the first crash was served

    Examples:
      | what                                                                    |
      | all callers send the same request while two upstreams end at once       |
      | all callers send the same request while three upstreams end in turn     |
      | the first upstreams' connections are reset three times                  |
      | another account sends what is deadly from the first one, and to nobody  |

  Scenario: An operator lists what is refused, and releases it
    Given three gateway processes and upstreams that some requests crash
    When a crashing request is quarantined, its fault is fixed, and an operator releases it
    Then every process listed it with 2 crashes before
    And it is served at every process within 1 second after

  Scenario: What was convicted is tried again once, by one process
    Given three gateway processes and upstreams that some requests crash
    When a crashing request is sent to all processes at once, every second for 40 seconds
    Then it crashed 3 upstreams

  Scenario: For how long a request is refused
    Then a request is quarantined for this time
      | ends | suspects | others convicted | seconds |
      | 0    | 1        | no               | 0       |
      | 0    | 1        | yes              | 0       |
      | 1    | 1        | no               | 0       |
      | 1    | 1        | yes              | 10      |
      | 1    | 2        | yes              | 10      |
      | 1    | 3        | yes              | 0       |
      | 2    | 1        | no               | 10      |
      | 2    | 5        | yes              | 10      |
      | 3    | 5        | no               | forever |
      | 9    | 1        | yes              | forever |

  Scenario: In whatever order and however often ends are told, they count the same
    Then crashes reported in any order, any number of times, give the same count
    And a request that succeeds is cleared, and late reports about it are ignored

  Scenario: Ends of runs that were under way together count once
    Then crashes reported with the count known at the start of the attempt give these counts
      | told               | ends |
      | a 0                | 1    |
      | a 0, b 0, c 0      | 1    |
      | a 0, b 1           | 2    |
      | b 1, a 0           | 2    |
      | a 0, a 0, a 0      | 1    |
      | a 0, a 1           | 2    |
      | a 0, b 1, c 1, d 2 | 3    |

  Scenario Outline: A row that <what> tells of no end
    Given three gateway processes and upstreams that some requests crash
    When a row of the crash table <what>
    Then no process records a crash, and all keep serving callers

    Examples:
      | what                  |
      | is no JSON            |
      | names another request |
      | has a name too long   |
      | is nested too deep    |
