Feature: Processes of a site share a membership view, the followers of the store and its changes

  Scenario Outline: Each process discovers all members of its domain: <case>
    Given <count> processes in each of <domains> domains that know only <seeds> seeds
    When datagrams are lost <lost> times in 100 and <seconds> seconds pass
    Then each process knows all members of its domain and agrees on its 2 followers

    Examples:
      | case               | count | domains | seeds | lost | seconds |
      | a small site       | 3     | 3       | 3     | 0    | 4       |
      | hundreds           | 40    | 5       | 3     | 0    | 12      |
      | a lossy network    | 20    | 3       | 3     | 10   | 15      |
      | one seed is stale  | 10    | 2       | 1     | 0    | 10      |

  Scenario Outline: Departed members are removed, and restarted ones are added again: <case>
    Given 12 processes in each of 2 domains that know only 3 seeds
    When they have discovered each other and <event>
    Then within <seconds> seconds <outcome>

    Examples:
      | case            | event                                | seconds | outcome                             |
      | killed          | a process is killed                  | 15      | nobody counts it as live            |
      | leaving         | a process says that it leaves        | 3       | nobody of its domain would ask it   |
      | restarted       | a process restarts with a later clock | 6      | everybody of its domain knows its new start |
      | cut in two      | the domains are cut apart for 20 seconds and joined | 8 | each knows somebody of the other domain |

  Scenario: A digest fits in one packet regardless of the number of members
    Given 400 processes in each of 1 domains that know only 1 seeds
    When one of them knows all other members
    Then its digest has at most 1400 bytes

  Scenario: A process ranks first in proportion to its weight
    Then over 2000 keys a node of weight 10 among 9 of weight 1 ranks first 45 to 60 times in 100

  Scenario Outline: Only few processes read the store: <case>
    Given <count> processes of one domain over one store
    When <changes> rows change over <seconds> seconds
    Then every process has every change within <late> seconds
    And the store was read at most <calls> times from the tenth second on

    Examples:
      | case          | count | changes | seconds | late | calls |
      | three         | 3     | 20      | 10      | 0.6  | 160   |
      | many          | 30    | 20      | 10      | 0.6  | 160   |
      | nothing to do | 30    | 0       | 10      | 0.6  | 60    |

  Scenario Outline: Changes still reach all live processes after a failure: <case>
    Given 12 processes of one domain over one store
    When they have settled and <event>
    Then the next change reaches all live processes within <late> seconds
    And no live process is ever more than <age> seconds stale

    Examples:
      | case                          | event                                        | late | age |
      | one that follows is killed    | the first that follows is killed             | 2.0  | 3.5 |
      | both are killed               | both that follow are killed                  | 2.0  | 3.0 |
      | one falls silent              | the first that follows falls silent          | 2.0  | 3.0 |
      | one loses the store           | the first that follows loses the store       | 2.0  | 3.0 |
      | both lose the store           | both that follow lose the store              | 2.0  | 3.0 |
      | most lose it, not those       | all but the first that follows lose the store | 2.0 | 3.5 |

  Scenario Outline: Only an outage that affects all processes ends in a recovery: <case>
    Given 12 processes of one domain over one store
    When they have settled and <lost> can't reach the store for <seconds> seconds
    Then afterwards <told> record a recovery of it

    Examples:
      | case                 | lost                   | seconds | told    |
      | one that follows     | the first that follows | 4       | nobody  |
      | one for a moment     | the first that follows | 2       | nobody  |
      | the store was away   | everybody              | 4       | all     |
      | away for a moment    | everybody              | 2.5     | all     |

  # Guards against never hearing a reachable store whose answers come after the timeout.
  Scenario Outline: A store that answers late is still heard: <count> processes, <delay> s, <case>
    Given <count> processes of one domain over one store
    When they <case> and the store answers <delay> seconds late for 20 seconds
    Then no live process is ever more than 4 seconds stale
    And the store was read at most <calls> times meanwhile

    Examples:
      | count | delay | case         | calls |
      | 1     | 0.8   | have settled | 60    |
      | 1     | 1.2   | have settled | 60    |
      | 1     | 1.6   | have settled | 60    |
      | 3     | 0.8   | have settled | 120   |
      | 3     | 1.2   | have settled | 120   |
      | 12    | 1.0   | have settled | 120   |
      | 1     | 1.0   | start        | 60    |
      | 3     | 1.0   | start        | 180   |

  Scenario: A time received from another process is never later than the true one
    Given processes whose frames take 0.9 seconds to arrive
    Then each process has every change before the time that it is current as of

  Scenario Outline: The load that one process queries is relayed to all: <case>
    Given <count> processes of one domain over one store
    When they have settled and an upstream's load becomes known to a follower
    Then all subscribers know it within <late> seconds, with its true age

    Examples:
      | case  | count | late |
      | few   | 3     | 0.3  |
      | many  | 30    | 0.3  |

  Scenario: An operator sees the members and the source of each process
    Given 12 processes of one domain over one store
    When they have settled and an operator requests the view of each
    Then each lists 12 members, 2 follow the store and are the sources of the others

  Scenario: Processes do not flood an unavailable store with reads
    Given 30 processes of one domain over one store
    When they have settled and the store is unavailable for 10 seconds
    Then the store was read at most 150 times during the outage
    And all processes learn of its recovery within 2.5 seconds

  Scenario Outline: The store's recovery is known at once and costs few reads: <case>
    Given <count> processes of one domain over one store
    When they have settled and the store is unavailable for <seconds> seconds
    Then the store was read at most <calls> times during the outage
    And all processes learn of its recovery within <late> seconds

    Examples:
      | case        | count | seconds | calls | late |
      | for long    | 30    | 10      | 110   | 0.6  |
      | for a while | 20    | 8       | 90    | 0.6  |
      | few         | 3     | 8       | 90    | 0.6  |
      | for a moment | 12   | 2       | 30    | 0.6  |

  Scenario: Replicas of a table agree regardless of the order of updates
    Then 300 random series of updates, snapshots and duplicates leave replicas that equal the store
