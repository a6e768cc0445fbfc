Feature: Estimate of the requests at first upstreams between two reports, replayed without I/O

  # Guards against processes that all fill the same free slots while the load doubles in a second.
  # A quarter of the requests can't be served then.
  Scenario Outline: The load doubles within a second: <processes> processes, <estimate>
    Given a site of <processes> processes with two thirds of its slots taken
    When its load doubles, and <estimate> fills upstreams up to <fill> of their slots
    Then at most <refused> in 100 requests are refused, and <full> in 100 find their upstream full

    Examples:
      | processes | estimate   | fill | refused | full |
      | 7         | own sends  | 0.8  | 22      | 4    |
      | 7         | free slots | 0.8  | 18      | 13   |
      | 130       | own sends  | 0.4  | 26      | 23   |
      | 130       | free slots | 0.8  | 26      | 9    |
      | 390       | own sends  | 0.4  | 15      | 35   |
      | 390       | free slots | 1.05 | 8       | 13   |
      | 390       | free slots | 1.0  | 24      | 3    |
