Feature: Estimate of the requests at first upstreams between two reports, replayed without I/O

  # Guards against processes that all fill the same free slots while the load doubles in a second.
  # A quarter of the requests can't be served then.
  Scenario Outline: The load doubles within a second: <processes> processes, <estimate>
    Given a site of <processes> processes with two thirds of its slots taken
    When its load doubles, and <estimate> fills upstreams up to <fill> of their slots
    Then at most <refused> in 100 requests are refused, and <full> in 100 find their upstream full

    Examples:
      | processes | estimate     | fill | refused | full |
      | 7         | fixed weight | 0.9  | 9       | 13   |
      | 130       | free slots   | 0.8  | 26      | 9    |
      | 130       | free slots   | 1.0  | 15      | 8    |
      | 390       | free slots   | 1.0  | 24      | 3    |
      | 390       | free slots   | 1.05 | 8       | 13   |

  # Guards against an estimate that choices don't use.
  Scenario Outline: 80 in 100 of a domain's callers move to another, with the estimate: <processes>
    Given two domains with <processes> processes each that estimate free slots, 12 and 12 requests a second
    When the requests become 21.6 and 2.4 a second for 8 seconds
    Then at most 8 in 100 requests of x waited for a slot

    Examples:
      | processes |
      | 20        |
      | 65        |

  # Guards against an estimate by old reports, by a share that tells less than own sends, or by one
  # that is mostly assumed: a process with one stream took six free slots for full.
  Scenario Outline: Where the estimate has no ground, own sends count as before: <case>, <processes>
    Given two domains with <processes> processes each that estimate free slots, <rate> and 9 requests a second
    When <case> and a process sends a stream
    Then <waiting> requests wait there as far as it knows

    Examples:
      | processes | rate | case                            | waiting |
      | 20        | 12   | nothing happens                 | 1 to 2  |
      | 20        | 2    | nothing happens                 | 3 to 3  |
      | 20        | 12   | the setting is switched off     | 3 to 3  |
      | 3         | 12   | nothing happens                 | 3 to 3  |
      | 20        | 12   | no report comes for 3.1 seconds | 0 to 0  |

  # Guards against admission control that takes three requests for each own send off the known load
  # while the estimate added another number: it then found more or fewer free slots than reported.
  Scenario: Admission control takes off as many unreported requests as the estimate adds
    Given two domains with 20 processes each that estimate free slots, 12 and 9 requests a second
    When nothing happens and a process sends a stream
    Then its admission control finds the reported requests there
