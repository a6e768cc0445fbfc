Feature: Reachable upstreams are not suspected while all answers are late

  # Guards against moving streams and layers away from upstreams that are overloaded but reachable.
  Scenario Outline: The second upstream <change> while control calls are answered after <delay> s
    Given two chains of runners that answer queries and orders after <delay> seconds
    And a stream that has run for 3 seconds
    When the second upstream of the path <change>
    Then the caller got every event once, with no pause over <pause> seconds
    And the second upstream of the path was <result>

    Examples:
      | change                      | delay | pause | result         |
      | holds streams up for 0.3 s  | 0.1   | 0.5   | not suspected  |
      | dies                        | 0.1   | 1.0   | suspected      |
      | goes dark                   | 0.002 | 0.3   | suspected      |

  # Guards against a few slow upstreams raising every timeout, and against timeouts that never rise.
  Scenario Outline: The timeout for an answer follows recent answer times: <case>
    Given answers from distinct upstreams that took <answers> ms, received <age> seconds ago
    And <repeated> more answers from the last upstream that took as long
    And <silent> more upstreams that timed out after 40 ms
    Then the answer timeout for a base of <base> ms is <timeout> ms

    Examples:
      | case                        | answers         | age | repeated | silent | base | timeout |
      | no answers                  | none            | 0   | 0        | 0      | 15   | 15      |
      | all fast                    | 16 x 3          | 0   | 0        | 0      | 15   | 15      |
      | all late                    | 16 x 100        | 0   | 0        | 0      | 15   | 300     |
      | 1 of 16 late                | 15 x 3, 1 x 400 | 0   | 0        | 0      | 15   | 15      |
      | 1 of 3 late, asked often    | 2 x 3, 1 x 400  | 0   | 20       | 0      | 15   | 15      |
      | 3 of 16 late                | 13 x 3, 3 x 400 | 0   | 0        | 0      | 15   | 15      |
      | half late                   | 8 x 3, 8 x 100  | 0   | 0        | 0      | 15   | 15      |
      | most late                   | 7 x 3, 9 x 100  | 0   | 0        | 0      | 15   | 300     |
      | too few upstreams           | 1 x 100         | 0   | 9        | 0      | 15   | 15      |
      | 3 of 3 late                 | 3 x 100         | 0   | 0        | 0      | 15   | 300     |
      | expired answers             | 16 x 100        | 6   | 0        | 0      | 15   | 15      |
      | upper bound                 | 16 x 400        | 0   | 0        | 0      | 15   | 600     |
      | base above the upper bound  | 16 x 400        | 0   | 0        | 0      | 1000 | 1000    |
      | 4 of 16 time out            | 12 x 3          | 0   | 0        | 4      | 15   | 15      |
      | all time out                | none            | 0   | 0        | 3      | 15   | 240     |
