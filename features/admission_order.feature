Feature: Which requests begin, wait and are refused under load, without a network

  # Guards against starting requests that miss their limits or make running streams miss theirs, and
  # against holding requests that could begin or that can't be served in time.
  Scenario Outline: A request <verdict> because of "<why>": <case>
    Given a path with a first event in <first> ms, pauses of <pause> ms and utilization <used>
    When a request that waited <waited> ms asks for it behind <ahead> others, with a reserve of <reserve>
    Then it <verdict> because of "<why>"

    Examples:
      | case                           | first | pause | used | waited | ahead | reserve | verdict | why     |
      | room for it                    | 150   | 50    | 0.9  | 0      | 0     | 0       | begins  | in-time |
      | no room, streams end soon      | 150   | 50    | 1.0  | 0      | 0     | 0       | waits   | full    |
      | long queue at the upstream     | 150   | 50    | 1.6  | 0      | 0     | 0       | refuses | full    |
      | others go first                | 150   | 50    | 0.5  | 0      | 1     | 0       | waits   | behind  |
      | too many go first              | 150   | 50    | 0.5  | 0      | 9     | 0       | refuses | behind  |
      | kept for more urgent requests  | 150   | 50    | 0.95 | 0      | 0     | 0.1     | waits   | reserved |
      | running streams would be late  | 150   | 260   | 0.5  | 0      | 0     | 0       | waits   | pause   |
      | late, but it has a place       | 150   | 50    | 0.9  | 600    | 0     | 0       | begins  | late    |
      | its caller gives up before     | 150   | 50    | 0.9  | 1700   | 0     | 0       | refuses | slow    |
      | prompts queue for too long     | 1900  | 50    | 0.9  | 0      | 0     | 0       | refuses | slow    |

  Scenario: A prompt that is slow on an idle path begins, since no refusal would serve it better
    Given a path with a first event in 1900 ms even if idle
    When a request that waited 0 ms asks for it behind 0 others, with a reserve of 0
    Then it begins because of "late"

  # Guards against urgent requests that wait or are refused as if their path were full, while a lesser
  # one would take the share of it that a stream of this process left.
  Scenario: An urgent request begins wherever a lesser one would
    Given the room that 2000 drawn reports show to a process, with streams that it sent and that ended
    Then each path on which a lesser request begins takes an urgent one as well

  # Guards against an order that leaves an account or size out for good, and against late requests
  # that make all others late too.
  Scenario Outline: <first> goes before <second>: <case>
    Given requests <first> and <second> that wait, and an account "big" that used much
    Then <first> goes first

    Examples:
      | case                            | first                  | second                 |
      | priority                        | p0 a 900 tokens 0 ms   | p1 a 10 tokens 300 ms  |
      | less time                       | p1 a 100 tokens 0 ms   | p1 a 400 tokens 0 ms   |
      | rank rises                      | p1 a 400 tokens 350 ms | p1 a 200 tokens 0 ms   |
      | account use                     | p1 a 100 tokens 0 ms   | p1 big 80 tokens 0 ms  |
      | in time before late             | p1 a 400 tokens 0 ms   | p1 a 100 tokens 480 ms |
      | neglected account               | p1 old 900 tokens 0 ms | p1 a 10 tokens 0 ms    |
      | neglected, but of low priority  | p0 a 900 tokens 0 ms   | p1 old 10 tokens 0 ms  |

  # Guards against processes that decide alone and serve urgent requests no better than others, that
  # all take the same free slots, or that let all requests wait until all are late.
  Scenario Outline: <processes> processes replay <traffic>: urgent requests are served first
    When <processes> processes replay <traffic>
    Then before it all requests are in time and none is refused
    And during it at least <urgent> of priority 0 and <all> of all requests are in time
    And requests of priority 0 are in time more often than those of the last priority
    And 4 seconds after it at least 0.95 are in time

    Examples:
      | processes | traffic                       | urgent | all  |
      | 1         | a swing by half               | 0.7    | 0.7  |
      | 80        | a swing by half               | 0.6    | 0.6  |
      | 1         | a route at 2.4 times its rate | 0.9    | 0.45 |
      | 80        | a route at 2.4 times its rate | 0.85   | 0.5  |
      | 20        | a burst in which urgent requests are many | 0.85 | 0.5 |

  # Guards against refused callers that return together or before more urgent ones.
  Scenario: Refused callers that return don't displace urgent requests
    When 80 processes replay a route at 2.4 times its rate with callers that return
    Then during it at least 0.8 of priority 0 and 0.3 of all requests are in time
    And no half second has more than 40 returning callers

  Scenario: Urgent callers return before lesser ones, one after the other
    Given a process that answers 20 requests a second
    When 5 callers of priority 2 and then 5 of priority 0 are refused, with at least 0.5 seconds
    And 5 callers of priority 1 are refused, with at least 0.5 seconds
    Then those of priority 0 return before those of priority 1, none at the same time
