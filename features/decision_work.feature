Feature: Processor time of decisions with many upstreams

  # Guards against searching for a plan on every changed row while orders are pending and no plan is
  # needed. Each of 300 processes did so while 3,000 upstreams carried out another process's plan:
  # 82 calls of plan_group took 2.7 of 4.6 s in the first 20 s of one process (profiled), most of it
  # for copies of hosts: "83000 calls of dataclasses.py:1453(replace)".
  Scenario Outline: The work is linear in the number of hosts, not quadratic: <decision>
    Given a domain of 900 hosts of three kinds, placed for a model of 80 layers
    When <decision>
    Then it takes at most <most> calls of functions

    Examples:
      | decision                                   | most    |
      | a first placement is searched for          | 1200000 |
      | the paths of the domain are worked out     | 360000  |
      | streams that begin and pass are told apart | 9000    |
      | a plan whose orders are under way is met   | 2000    |

  # Guards against checks that visit every upstream although at most a few hundred rows changed. A
  # run of 300 processes with 3,000 upstreams was aborted for lack of processor time before its
  # traffic began: in memory, the first 20 s of one process took 2.56 s, and checks 2.1 of 4.4 s
  # (profiled): "121339 calls of upstreams.py:240(<genexpr>)", one for each upstream in 49 checks.
  Scenario: A check after few changed rows costs little for the unchanged ones
    Given 3000 upstreams in 3 domains, looked at once
    When 100 of their rows change and they are looked at again
    Then it takes at most 10000 calls of functions

  # Guards against decoding the last plan in every check, which reads it since the turn to plan
  # depends on it. In the first 20 s of one of 300 processes these were 100 of "6100 calls of
  # json_decode" that took 0.2 s of 3.2 (profiled).
  Scenario: A plan is decoded once, however often it is read
    Given a plan of 1000 orders that another process made
    When it is asked for 100 times
    Then it is one and the same record

  # Guards against computing the load of all 295 paths although a process prefers three, and against
  # searching all upstreams for first stages. With 1,000 upstreams in each of three domains a choice
  # took 14.5 ms of processor time, and the count of all requests, made every 0.4 s, 7.8 ms.
  Scenario Outline: A request evaluates only the few paths that its process prefers: <question>
    Given a process that knows 900 placed upstreams of each of 3 domains and their loads
    When it asks for the second time <question>
    Then it takes at most <most> calls of functions

    Examples:
      | question                              | most  |
      | which path a request takes            | 12000 |
      | how many requests stand at all firsts | 10000 |

  # Guards against computing the memory capacity of every stage for each request. If all preferred
  # paths are full, a process evaluates every path: with 1,000 upstreams in each of three domains a
  # request took 35.3 ms of processor time, two thirds of it for memory capacities:
  # "294481 calls of path_choice.py:198(_places)".
  Scenario: If all paths are full, a request evaluates each without computing its capacity again
    Given a process that knows 900 placed upstreams of each of 3 domains and their loads
    And every upstream is full
    When it asks for the second time which path a request takes
    Then it takes at most 40000 calls of functions

  # Guards against computing the streams of all paths again for each candidate: counts were kept for
  # one value of the clock, which in the programs differs at each reading.
  Scenario: A choice computes the streams of a domain once, also while the clock advances
    Given a process that knows 900 placed upstreams of each of 3 domains and their loads
    And its clock advances at each reading
    When it asks for the second time which path a request takes
    Then it takes at most 12000 calls of functions
