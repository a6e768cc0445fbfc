Feature: Every process that reaches the store knows each change in time, whatever its sources do

  # Guards against changes of the desired state and of the list of upstreams that the other processes
  # of a failure domain learn late, when those that read the store for them freeze, are cut off from
  # it or are gone: together or in turn, before a change or between changes.
  Scenario Outline: A change is known within two seconds beside <trouble>: <count> processes in <domains> domains
    Given <count> processes in each of <domains> domains that know only 3 seeds
    When they have settled and changes come each <pace> seconds while <trouble>
    Then every process beside those knew each change within 2 seconds

    Examples: Two machines of one failure domain
      | count | domains | pace | trouble                                          |
      | 4     | 3       | 5    | both followers of a domain freeze                |
      | 4     | 3       | 0.3  | both followers of a domain freeze                |
      | 4     | 1       | 5    | both followers of a domain freeze                |
      | 3     | 1       | 0.3  | both followers of a domain freeze                |
      | 30    | 1       | 5    | both followers of a domain freeze                |
      | 4     | 3       | 5    | both followers of a domain are cut off           |
      | 4     | 3       | 0.3  | both followers of a domain are cut off           |
      | 4     | 1       | 5    | both followers of a domain are cut off           |
      | 30    | 1       | 0.3  | both followers of a domain are cut off           |
      | 4     | 3       | 5    | both followers of a domain are refused           |
      | 4     | 1       | 0.3  | both followers of a domain are gone              |
      | 4     | 3       | 5    | one follower freezes and the other is cut off    |
      | 4     | 1       | 0.3  | one follower freezes and the other is cut off    |
      | 4     | 3       | 5    | both followers of a domain freeze in turn        |
      | 4     | 1       | 0.3  | both followers of a domain are cut off in turn   |
      | 12    | 1       | 5    | both followers of a domain freeze in turn        |

    Examples: Machines of several failure domains
      | count | domains | pace | trouble                                          |
      | 4     | 3       | 5    | one follower of each domain freezes              |
      | 4     | 3       | 0.3  | one follower of each domain is cut off           |
      | 4     | 3       | 5    | all followers of all domains freeze              |
      | 4     | 3       | 0.3  | all followers of all domains are cut off         |

  # Guards against an own read on a connection that has been idle since it went silent.
  Scenario Outline: A change is known within two seconds although idle connections are silent: <trouble>
    Given 4 processes in each of 3 domains that know only 3 seeds
    And idle connections to the store that have gone silent at those that don't read it
    When they have settled and changes come each 5 seconds while <trouble>
    Then every process beside those knew each change within 2 seconds

    Examples:
      | trouble                                |
      | both followers of a domain freeze      |
      | both followers of a domain are cut off |

  # Guards against a time of nothing that a process spends in reads of the store without a pause.
  Scenario: A bound of 0 seconds costs each process ten reads of a table a second at most
    Given 4 processes in each of 1 domains that know only 3 seeds
    And changes must be known within 0 seconds
    Then in 10 seconds the store is read at most 800 times

  # Guards against the same for the tables that nobody confirms as often: they are known within the
  # contact time.
  Scenario Outline: A plan and a crash are known within three seconds beside <trouble>: <count> processes
    Given <count> processes in each of 1 domains that also read plans and crashes
    When they have settled and changes come each <pace> seconds while <trouble>
    Then every process beside those knew each change within 3 seconds

    Examples:
      | count | pace | trouble                                        |
      | 4     | 5    | both followers of a domain freeze              |
      | 12    | 0.3  | both followers of a domain freeze              |
      | 4     | 5    | both followers of a domain are cut off         |
      | 12    | 5    | one follower freezes and the other is cut off  |
      | 4     | 5    | both followers of a domain are cut off in turn |

  # Guards against processes that each read the store during its outage since nobody confirms their
  # state: hundreds of them, all at once.
  Scenario Outline: A dark store and its return cost no more reads than it bears: <count>, <how>
    Given <count> processes in each of 3 domains that also read plans and crashes
    When they have settled and the store <how> for 10 seconds, and changes as it returns
    Then it got 1000 reads in each second of that time and of its return at most, and all knew the change within 3 seconds
    And it got <most> in each tenth of a second at most

    Examples: A store that bears 200 reads in a tenth of a second
      | count | how              | most |
      | 130   | refuses all      | 100  |
      | 130   | is silent to all | 200  |
