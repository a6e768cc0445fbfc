Feature: What processes know together: who is there, who follows the store, and what others tell

  Scenario Outline: Everybody comes to know everybody of its domain: <case>
    Given <count> processes in each of <domains> domains that know only <seeds> seeds
    When datagrams are lost <lost> times in 100 and <seconds> seconds pass
    Then each process knows all of its domain, and each domain has the same 2 that follow

    Examples:
      | case               | count | domains | seeds | lost | seconds |
      | a small site       | 3     | 3       | 3     | 0    | 4       |
      | hundreds           | 40    | 5       | 3     | 0    | 12      |
      | a lossy network    | 20    | 3       | 3     | 10   | 15      |
      | one seed is stale  | 10    | 2       | 1     | 0    | 10      |

  Scenario Outline: A process that goes is forgotten, and one that comes back is known anew: <case>
    Given 12 processes in each of 2 domains that know only 3 seeds
    When they have found each other and <event>
    Then within <seconds> seconds <outcome>

    Examples:
      | case            | event                                | seconds | outcome                             |
      | killed          | a process is killed                  | 15      | nobody counts it as live            |
      | leaving         | a process says that it leaves        | 3       | nobody of its domain would ask it   |
      | restarted       | a process restarts with a later clock | 6      | everybody of its domain knows its new start |
      | cut in two      | the domains are cut apart for 20 seconds and joined | 8 | each knows somebody of the other domain |

  Scenario: A digest stays within one packet, however many members there are
    Given 400 processes in each of 1 domains that know only 1 seeds
    When one of them knows all others
    Then its digest has at most 1400 bytes

  Scenario: The heavier of two processes is first as much more often
    Then over 2000 keys a node of weight 10 among 9 of weight 1 comes first 45 to 60 times in 100

  Scenario Outline: Few ask the store: <case>
    Given <count> processes of one domain over one store
    When <changes> rows change over <seconds> seconds
    Then every process has every change within <late> seconds
    And the store was asked at most <calls> times from the tenth second on

    Examples:
      | case          | count | changes | seconds | late | calls |
      | three         | 3     | 20      | 10      | 0.6  | 160   |
      | many          | 30    | 20      | 10      | 0.6  | 160   |
      | nothing to do | 30    | 0       | 10      | 0.6  | 60    |

  Scenario Outline: Whoever is lost, the others go on knowing: <case>
    Given 12 processes of one domain over one store
    When they have settled and <event>
    Then a change that follows is known to all that live within <late> seconds
    And nobody who lives is more than <age> seconds behind meanwhile

    Examples:
      | case                          | event                                        | late | age |
      | one that follows is killed    | the first that follows is killed             | 2.0  | 3.5 |
      | both are killed               | both that follow are killed                  | 2.5  | 4.0 |
      | one falls silent              | the first that follows falls silent          | 3.0  | 4.0 |
      | one loses the store           | the first that follows loses the store       | 2.0  | 3.0 |
      | both lose the store           | both that follow lose the store              | 9.0  | 9.5 |
      | most lose it, not those       | all but the first that follows lose the store | 2.0 | 3.5 |

  Scenario Outline: Only a store that was away for all counts as returned: <case>
    Given 12 processes of one domain over one store
    When they have settled and <lost> can't reach the store for <seconds> seconds
    Then afterwards <told> count it as returned

    Examples:
      | case                 | lost                   | seconds | told    |
      | one that follows     | the first that follows | 4       | nobody  |
      | one for a moment     | the first that follows | 2       | nobody  |
      | the store was away   | everybody              | 4       | all     |
      | away for a moment    | everybody              | 2.5     | all     |

  Scenario: A moment that others tell is never later than it was
    Given processes whose frames take 0.9 seconds to arrive
    Then whoever takes a moment for known has every change before it

  Scenario Outline: What one asks of upstreams all know: <case>
    Given <count> processes of one domain over one store
    When they have settled and an upstream's load becomes known to one that follows
    Then all know it within <late> seconds, as old as it is

    Examples:
      | case  | count | late |
      | few   | 3     | 0.3  |
      | many  | 30    | 0.3  |

  Scenario: An operator sees who is there and whom each hears from
    Given 12 processes of one domain over one store
    When they have settled and an operator asks each of them
    Then each tells of 12 members, 2 follow the store and the others hear from those

  Scenario: Nobody storms a store that is away
    Given 30 processes of one domain over one store
    When they have settled and the store is away for 10 seconds
    Then the store was asked at most 150 times meanwhile
    And everybody knows of its return within 2.5 seconds

  Scenario Outline: The store's return is known at once, and costs few questions: <case>
    Given <count> processes of one domain over one store
    When they have settled and the store is away for <seconds> seconds
    Then the store was asked at most <calls> times meanwhile
    And everybody knows of its return within <late> seconds

    Examples:
      | case        | count | seconds | calls | late |
      | for long    | 30    | 10      | 110   | 0.6  |
      | for a while | 20    | 8       | 90    | 0.6  |
      | few         | 3     | 8       | 90    | 0.6  |
      | for a moment | 12   | 2       | 30    | 0.6  |

  Scenario: Copies of a table agree whatever the order in which updates come
    Then 300 random series of updates, readings and repeats leave copies that hold what the store held
