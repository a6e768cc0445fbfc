Feature: The work of decisions at size

  # While 3,000 upstreams load what another process's plan gave them, each process of 300 searched
  # for a plan whenever rows had changed, though nothing is due while orders are under way. In the
  # first 20 s of one process that were 82 calls of plan_group in 2.7 of 4.6 s (profiled), most of
  # them copies of hosts: "83000 calls of dataclasses.py:1453(replace)".
  Scenario Outline: Work grows with the hosts, not with their square: <decision>
    Given a domain of 900 hosts of three kinds, placed for a model of 80 layers
    When <decision>
    Then it takes at most <most> calls of functions

    Examples:
      | decision                                   | most    |
      | a first placement is searched for          | 1200000 |
      | the paths of the domain are worked out     | 360000  |
      | streams that begin and pass are told apart | 9000    |
      | a plan whose orders are under way is met   | 2000    |

  # At the start of 300 processes with 3,000 upstreams a day was given up for processor time before
  # its traffic began. In memory the first 20 s of one process took 2.56 s, of which 2.1 in 4.4
  # (profiled) were looks: "121339 calls of upstreams.py:240(<genexpr>)", one for each upstream in
  # each of 49 looks, though a look finds at most a few hundred rows changed.
  Scenario: A look after few rows changed costs little for the others
    Given 3000 upstreams in 3 domains, looked at once
    When 100 of their rows change and they are looked at again
    Then it takes at most 10000 calls of functions

  # Whose turn it is to plan depends on the last plan, so each look asks for it; each time it was
  # decoded anew. In the first 20 s of one of 300 processes these were 100 of "6100 calls of
  # json_decode" that took 0.2 s of 3.2 (profiled).
  Scenario: A plan is decoded once, however often it is asked for
    Given a plan of 1000 orders that another process made
    When it is asked for 100 times
    Then it is one and the same record

  # With 1,000 upstreams in each of three domains one choice took 14.5 ms of processor time and the
  # count of all standing requests, made each 0.4 s, 7.8 ms: how full each of 295 paths was, though
  # a process keeps to three, and who may be the first of a path, looked for among all upstreams.
  Scenario Outline: A request looks at the few paths that its process keeps to: <question>
    Given a process that knows 900 placed upstreams of each of 3 domains and their loads
    When it asks for the second time <question>
    Then it takes at most <most> calls of functions

    Examples:
      | question                              | most  |
      | which path a request takes            | 12000 |
      | how many requests stand at all firsts | 10000 |

  # Where all that a process keeps to is full, it looks at every path: 35.3 ms of processor time for
  # a request with 1,000 upstreams in each of three domains, two thirds of which went into how many
  # requests each part of each path has memory for: "294481 calls of path_choice.py:198(_places)".
  Scenario: Where everything is full a request weighs each path without sizing it anew
    Given a process that knows 900 placed upstreams of each of 3 domains and their loads
    And every upstream is full
    When it asks for the second time which path a request takes
    Then it takes at most 40000 calls of functions
