Feature: Reads of the store whose connections go silent for good

  # Guards against requests to an upstream that has left, while the connection on which the list of
  # upstreams is followed is silent and new ones work.
  Scenario: A process whose read of the list stays unanswered learns soon that an upstream has left
    When the read of the list goes silent for good, and a plain upstream leaves 0.2 seconds later
    Then 3 seconds after the silence began, no request reaches that upstream

  # Guards against the same for every table, also at the processes that learn of changes from the
  # one whose connection is silent. A longer revocation time must not lengthen it.
  Scenario Outline: A change is known within the contact time although reads stay unanswered: <table>, <reads>, <processes>
    Given <processes>, with a revocation time of <revocation> seconds
    When <reads> go silent for good, and table <table> changes 0.2 seconds later
    Then 3 seconds after the silence began, every process knows the change

    Examples: One connection
      | table   | reads                   | processes                      | revocation |
      | servers | the reads of one        | a process alone                | 5          |
      | servers | the reads of one        | a process alone                | 12         |
      | servers | the reads of one        | three processes in three areas | 12         |
      | servers | the reads of one        | eight processes in two areas   | 5          |
      | plans   | the reads of one        | a process alone                | 5          |
      | plans   | the reads of one        | eight processes in two areas   | 5          |
      | crashes | the reads of one        | a process alone                | 5          |
      | crashes | the reads of one        | eight processes in two areas   | 5          |
      | op      | the reads of one        | eight processes in two areas   | 5          |
      | op      | the reads of one        | a process alone                | 12         |

    Examples: All open connections
      | table   | reads                   | processes                      | revocation |
      | servers | all reads of one        | a process alone                | 5          |
      | servers | all reads of one        | eight processes in two areas   | 5          |
      | servers | all reads of every one  | three processes in three areas | 5          |
      | plans   | all reads of every one  | eight processes in two areas   | 5          |
      | crashes | all reads of every one  | eight processes in two areas   | 5          |
      | op      | all reads of every one  | eight processes in two areas   | 5          |
      | op      | all reads of every one  | eight processes in two areas   | 12         |
      | servers | all reads of every one  | eight processes in two areas   | 12         |

    # One process after the other: the next ones still answer for the store while one finds out.
    Examples: All open connections of each process in turn
      | table   | reads                   | processes                      | revocation |
      | servers | all reads of each       | three processes in three areas | 5          |
      | servers | all reads of each       | eight processes in two areas   | 12         |
      | plans   | all reads of each       | three processes in three areas | 12         |
      | crashes | all reads of each       | eight processes in two areas   | 5          |

  # Guards against taking silent connections for an outage of the store, behind which a missing row
  # counts as lapsed for 2 s, and its upstream as the last resort.
  Scenario Outline: The only upstream that leaves beside silent connections gets no requests: <processes>
    Given <processes>, with a revocation time of 5 seconds
    When all reads of every one go silent for good, and the only plain upstream leaves 0.2 seconds later
    Then 3 seconds after the silence began, every process knows the change

    Examples:
      | processes                      |
      | a process alone                |
      | three processes in three areas |
      | eight processes in two areas   |

  # Guards against a reader that goes on waiting for the store while its process holds the change.
  Scenario: A reader whose read stands still gets what another process has sent meanwhile
    Given a process alone, with a revocation time of 5 seconds
    When the read of the list stays unanswered while a source sends that an upstream has left
    Then a second later no request reaches that upstream

  # Guards against a process that reports itself as not ready for seconds after all its open
  # connections to the store went silent, though new ones work.
  Scenario: A process whose open connections to the store are all silent is ready again within the contact time
    Given a process alone, with a revocation time of 5 seconds
    When all reads of one go silent for good
    Then 3 seconds after the silence began, it is ready and serves its callers

  # Guards against reads that wait at the store and keep it from being read again after a failure.
  Scenario: A store that failed once is read again beside reads that stand still
    Given three processes in three areas, with a revocation time of 5 seconds
    When all reads of one but that of the configuration stand still, and that one fails
    Then the store is read again within 0.5 seconds

  # Guards against reads that cost the store more calls than a wait of five seconds does.
  Scenario: While nothing changes, a process reads each table but the configuration every five seconds
    Given three processes in three areas, with a revocation time of 5 seconds
    Then in 20 seconds each process reads the store at most 29 times

  # Guards against reads that are given up again and again because of a wrong report.
  Scenario: Reports of a change that the store does not have cost two reads every two seconds at most
    Given three processes in three areas, with a revocation time of 5 seconds
    When another process reports a change of servers that the store doesn't have, each second
    Then in 20 seconds each process reads the store at most 49 times

  Scenario: A call of the store that is not answered closes the idle connections
    When a call of the store stays unanswered beside 2 idle connections
    Then the next call uses a new connection
