Feature: Running streams are moved to several paths after a loss

  # All processes would prefill their streams on the hosts of the one cheapest path.
  Scenario Outline: The prefill after a loss is spread over replicas: <case>
    When four hosts with replicas in copies <copies> are lost under <streams> streams
    Then the busiest host gets on average <share> of the prefill of one cheapest path, or less
    And every stream was moved, and no move named a host known as gone to its process

    Examples:
      | case             | copies           | streams | share |
      | two, few streams | b l4, c l4       | 30      | 0.6   |
      | two, many        | b l4, c l4       | 80      | 0.6   |
      | three            | b l4, c l4, d l4 | 55      | 0.45  |
      | one slower       | b l4, c t4       | 55      | 0.8   |

  # Three refused moves would be the last, also while the stream can still make its pause. The link to
  # another domain (y) is narrow.
  Scenario Outline: A move that fails for a missing stage is retried while the pause lasts: <case>
    Given 1 streams of a process beside <copies>; <gone> gone, spreading <spreading>
    When a2 is found lost, its host refuses, and moves take <seconds> seconds
    Then <moved> moves were accepted and <refused> refused, none after <last> seconds
    And the last path leaves its domain <crossings> times

    Examples:
      | case         | copies                             | spreading | gone                 | seconds | moved | refused | last  | crossings |
      | one is left  | b l4, c l4 y                       | on        | a2                   | 0.002   | 1     | 0       | 0.001 | 0         |
      | none is left | c l4 y                             | on        | a2                   | 0.002   | 1     | 0       | 0.001 | 1         |
      | at once      | b l4, c l4, d l4, e l4             | on        | a2 b2 c2 d2          | 0.002   | 1     | 3       | 0.01  | 0         |
      | all are gone | b l4, c l4, d l4, e l4             | on        | a2 b2 c2 d2 e2       | 0.002   | 0     | 4       | 0.01  | 0         |
      | too late     | b l4, c l4, d l4, e l4, f l4, g l4 | on        | a2 b2 c2 d2 e2 f2 g2 | 0.12    | 0     | 5       | 0.49  | 0         |
      | as before    | b l4, c l4, d l4, e l4             | off       | a2 b2 c2 d2          | 0.002   | 0     | 3       | 0.01  | 0         |

  Scenario: Replicas are searched ahead of a loss, and streams with fewer tokens are moved first
    Given 8 streams of a process beside b l4, c l4; none gone, spreading on
    When a2 is found lost, its host refuses, and moves take 0.002 seconds
    Then no path was searched at that moment, and the move's line has its inputs
    And the moves were sent in the order of the streams' tokens

  Scenario: The most urgent streams are moved first, those that are late in any case last
    Then streams are moved in the order soon-short soon-long later late
      | stream     | left | tokens | least |
      | late       | 20   | 100    | 40    |
      | later      | 90   | 100    | 40    |
      | soon-long  | 52   | 900    | 40    |
      | soon-short | 58   | 300    | 40    |

  Scenario Outline: A reported upstream is probed once, and left unless it answers: <case>
    Given 2 streams of a process beside b l4, c l4; none gone, spreading <spreading>
    When <names> is <how>, its host <reply>, and moves take 0.002 seconds
    Then the probed upstreams are <probed>, and <waiting> streams wait for another attempt
    And <moved> moves were accepted and 0 refused, none after <seconds> seconds

    Examples:
      | case                | names             | spreading | how       | reply                   | probed            | waiting | moved | seconds |
      | it answers          | a3                | on        | reported  | answers                 | a3                | 0       | 0     | 0       |
      | it has ended        | a3                | on        | reported  | refuses                 | a3                | 0       | 2     | 0.003   |
      | told twice          | a3                | on        | reported  | refuses again           | a3                | 0       | 2     | 0.003   |
      | it is silent        | a3                | on        | reported  | is silent               | a3                | 0       | 2     | 0.042   |
      | events still come   | a3                | on        | reported  | is silent, events go on | a3                | 0       | 0     | 0       |
      | confirmed           | a3                | on        | confirmed | is silent               | none              | 0       | 2     | 0.001   |
      | another meanwhile   | a3 a5             | on        | confirmed | is silent               | none              | 0       | 4     | 0.003   |
      | no stream passes it | b3                | on        | reported  | is silent               | none              | 0       | 0     | 0       |
      | most are silent     | a1 a2 a3 a4 a5 a6 | on        | reported  | is silent               | a1 a2 a3 a4 a5 a6 | 0       | 0     | 0       |
      | first, answers      | a0                | on        | reported  | answers                 | a0                | 0       | 0     | 0       |
      | first, has ended    | a0                | on        | reported  | refuses                 | a0                | 2       | 0     | 0       |
      | first, confirmed    | a0                | on        | confirmed | is silent               | none              | 2       | 0     | 0       |
      | without spreading   | a3                | off       | confirmed | is silent               | a3                | 0       | 2     | 0.042   |

  Scenario: A stream's tokens are counted, and it survives a loss while streams are spread
    When a stream of a prompt of 500 tokens loses its second upstream while streams are spread
    Then the caller got every event, and the stream held 505 tokens
