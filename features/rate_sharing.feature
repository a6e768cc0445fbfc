Feature: Many processes share the rate limit of one upstream

  Scenario Outline: While callers wait, the rate plus 3 is not exceeded in 4 seconds, and 0.85 of it is used: <case>
    Given <count> processes before an upstream that accepts <rate> a second, <lost> of datagrams lost
    When callers come <demand> a second, <how>
    Then no 4 seconds had more requests than the rate allows plus 3
    And at least 0.85 of the rate was used

    Examples:
      | case                  | count | rate | lost | demand | how                      |
      | seven                 | 7     | 2.3  | 0    | 20     | evenly                   |
      | seven, one busy       | 7     | 2.3  | 0    | 20     | half of them to one      |
      | seven, quick          | 7     | 40   | 0    | 120    | evenly                   |
      | sixty                 | 60    | 2.3  | 0    | 40     | evenly                   |
      | sixty, one busy       | 60    | 10   | 0    | 40     | half of them to one      |
      | many                  | 195   | 2.3  | 0    | 60     | evenly                   |
      | many, one busy        | 195   | 2.3  | 0    | 60     | half of them to one      |
      | many, hardly too many | 195   | 20   | 0    | 30     | evenly                   |
      | datagrams lost        | 7     | 8    | 0.02 | 40     | evenly                   |
      | tokens not used       | 7     | 8    | 0    | 40     | a third leave meanwhile  |

  Scenario Outline: The rate plus 3 is not exceeded in 4 seconds while <what>: <count> processes
    Given <count> processes before an upstream that accepts <rate> a second, 0.01 of datagrams lost
    When callers come 40 a second, evenly, and <what>
    Then no 4 seconds had more requests than the rate allows plus 3
    And requests were sent again afterwards

    Examples:
      | what                                      | count | rate |
      | a third is cut off from the others        | 7     | 2.3  |
      | a third is cut off from the others        | 60    | 8    |
      | the issuer is cut off from the others     | 7     | 8    |
      | the issuer loses the store                | 7     | 8    |
      | the issuer loses the store and its peers  | 7     | 8    |
      | the store is dark                         | 7     | 8    |
      | the store is dark                         | 1     | 8    |
      | the issuer is killed                      | 60    | 8    |
      | the issuer is killed and starts again     | 7     | 8    |
      | the issuer stops                          | 7     | 8    |
      | all are killed and start again            | 7     | 8    |
      | the store loses what it answers           | 7     | 8    |

  # An entry process that started while the store was unavailable had missed the broadcast of a limit, and
  # there was no issuer to repeat it. It learned the limit of 0.7 a second from a response 4 s later, after
  # 8 requests. The log of the soak test, seconds:
  #   49.483 e0 upstream-limit rate=0.7 version=1 source=answer
  #   53.589 e2 upstream-limit rate=0.7 version=1 source=answer
  Scenario: A process that starts while the store is unavailable gets the limits from its peers
    Given 7 processes before an upstream that accepts 0.7 a second, 0 of datagrams lost
    When the store is unavailable before the limit is known, and a process starts after it
    Then the process knows the limit within 0.5 seconds, from a peer

  Scenario: A token expires while its process is suspended
    Given 3 processes before an upstream that accepts 2.3 a second, 0 of datagrams lost
    Then a token acquired 0.3 seconds ago can't be used

  Scenario: At most two unused tokens are saved while there are no callers
    Given 3 processes before an upstream that accepts 20 a second, 0 of datagrams lost
    When a caller comes each second for a while, and then 100 at once
    Then at most 4 of the hundred were sent within 0.05 seconds

  Scenario Outline: The limit in a response is <text>
    Then responses with the limit <text> are read as <rate>, <malformed> malformed headers

    Examples:
      | text             | rate    | malformed |
      | 2.3              | 2.3     | without   |
      | 7                | 7       | without   |
      | .5               | 0.5     | without   |
      | 0                | 0       | without   |
      | 0.0              | 0       | without   |
      | 99999999999      | 1000000 | without   |
      | -1               | nothing | with      |
      | +2               | nothing | with      |
      | nan              | nothing | with      |
      | inf              | nothing | with      |
      | 1e3              | nothing | with      |
      | 2,3              | nothing | with      |
      | empty            | nothing | with      |
      | 5 / 2.3          | 2.3     | without   |
      | soon / 2.3       | 2.3     | with      |
      | 2.3 in a 421     | nothing | without   |

  Scenario Outline: Which response determines the limit: <case>
    Given a process that received <heard>
    Then its limit is <rate>

    Examples:
      | case                              | heard                                     | rate    |
      | a limit                           | 5                                         | 5       |
      | an answer without it ends it      | 5, then none                              | nothing |
      | one that was asked for before     | 5, then none asked before                 | 5       |
      | a change                          | 5, then 8                                 | 8       |
      | two at once, the stricter         | 5, then 2 asked before                    | 2       |
      | two at once, the other way        | 2, then 5 asked before                    | 2       |
      | a question's answer is silent     | 5, then none to a question                | 5       |
      | a question's answer that named it | 5 to a question, then none to a question  | nothing |
      | a peer whose question named it    | 5 on questions from a peer, then none to a question | nothing |
      | a peer with the same news         | 5, then 2 from a peer                     | 2       |
      | a peer with older news            | 5, then 8, then 5 from a peer             | 8       |
      | a peer with a later end           | 5, then the end from a peer               | nothing |
      | an unreadable one ends nothing    | 5, then unreadable                        | 5       |

  Scenario: A thousand changes a second are broadcast and logged a few times, and memory is bounded
    Given 3 processes before an upstream that accepts 2.3 a second, 0 of datagrams lost
    When a process receives a limit from 5000 upstreams, and 1000 from one more within a second
    Then it retains at most 4096 limits
    And it logged the one upstream at most 7 times

  Scenario: Datagrams about limits from unknown senders
    Given 3 processes before an upstream that accepts 2.3 a second, 0 of datagrams lost
    When malformed datagrams about limits arrive
    Then they are counted and the limit still holds

  Scenario: When the limit ends, callers are served without tokens, and the lease is no longer renewed
    Given 7 processes before an upstream that accepts 2.3 a second, 0 of datagrams lost
    When callers come 20 a second, evenly, and the limit ends
    Then every process sends without tokens within 1 second
    And the store receives no more calls about limits
