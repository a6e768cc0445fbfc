Feature: What an upstream tells in a response counts for the incarnation that sent it

  # Guards against what a new incarnation tells being kept under the older one, with which it ends. An
  # upstream may restart under its id, and its row shows that late. The soak reported, suspected of this:
  #   pb.0 left by its answer to c10r9 and got c0r8 from e2
  # In an order of events, "sent" is when a caller's request is sent, "response" when its response is read,
  # "row" when the process learns the new row. "restart" comes first where it isn't named.

  Scenario Outline: The shutdown of a new incarnation: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "leaving", in the order "<order>"
    Then the new incarnation got no request after its announcement

    Examples:
      | order               |
      | row, sent, response |
      | sent, response      |

  Scenario Outline: The shutdown of a new incarnation whose row is late: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "leaving", in the order "<order>"
    Then the new incarnation got no request after its announcement

    Examples:
      | order                        |
      | sent, response, row          |
      | sent, row, response          |
      | sent, restart, response, row |
      | sent, restart, row, response |

  # Guards against a shutdown that the row clears because its response asked for a backoff as well.
  Scenario Outline: The shutdown of a new incarnation that asks for a backoff as well: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "leaving with a backoff", in the order "<order>"
    Then the new incarnation got no request after its announcement

    Examples:
      | order                        |
      | sent, response, row          |
      | sent, row, response          |
      | sent, restart, response, row |
      | sent, restart, row, response |

  Scenario Outline: The backoff of a new incarnation: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "backoff", in the order "<order>"
    Then the first upstream got no request during its backoff
    And it got the first request once

    Examples:
      | order                        |
      | row, sent, response          |
      | sent, response               |
      | sent, response, row          |
      | sent, restart, response, row |

  Scenario Outline: The backoff of a new incarnation whose row comes before its response: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "backoff", in the order "<order>"
    Then the first upstream got no request during its backoff
    And it got the first request once

    Examples:
      | order                        |
      | sent, row, response          |
      | sent, restart, row, response |

  Scenario Outline: The rate limit of a new incarnation: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "limit", in the order "<order>"
    Then the limit holds for the listed incarnation

    Examples:
      | order               |
      | row, sent, response |
      | sent, response      |

  Scenario Outline: The rate limit of a new incarnation whose row is late: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "limit", in the order "<order>"
    Then the limit holds for the listed incarnation

    Examples:
      | order                        |
      | sent, response, row          |
      | sent, row, response          |
      | sent, restart, response, row |
      | sent, restart, row, response |

  Scenario Outline: A new incarnation that <what>: <order>
    Given two plain upstreams that report their start times
    When the first one restarts and tells "<what>", in the order "<order>"
    Then the listed incarnation has a failure share above 0
    And it got the first request once

    Examples:
      | what    | order               |
      | fails   | row, sent, response |
      | fails   | sent, response      |
      | refuses | row, sent, response |

  # Guards against a retry that goes to the process that failed, since its row came in between.
  Scenario Outline: A call that a new incarnation <what> before its row is known is retried elsewhere
    Given two plain upstreams that report their start times
    When the row of a new incarnation comes before it <what> a call
    Then the call reached each upstream once

    Examples:
      | what    |
      | fails   |
      | refuses |

  # The opposite error: an announced shutdown is never withdrawn, so one that counted for the wrong
  # incarnation would keep the new one idle for good.
  Scenario Outline: What the older incarnation told doesn't count for the new one: <what>, <order>
    Given two plain upstreams that report their start times
    When the first one tells "<what>" and restarts, in the order "<order>"
    Then the new incarnation got requests

    Examples:
      | what    | order                         |
      | leaving | sent, response, restart, row  |
      | leaving | sent, restart, row, response  |
      | limit   | sent, response, restart, row  |
      | limit   | sent, restart, row, response  |
      | fails   | sent, response, restart, row  |

  # Nothing but time ends a backoff, also no restart.
  Scenario Outline: The backoff of the older incarnation outlives it: <order>
    Given two plain upstreams that report their start times
    When the first one tells "backoff" and restarts, in the order "<order>"
    Then the first upstream got no request during its backoff

    Examples:
      | order                        |
      | sent, response, restart, row |

  Scenario Outline: The backoff of the older incarnation is read after the new row: <order>
    Given two plain upstreams that report their start times
    When the first one tells "backoff" and restarts, in the order "<order>"
    Then the first upstream got no request during its backoff

    Examples:
      | order                        |
      | sent, restart, row, response |

  Scenario Outline: What a new incarnation tells in the response to <call>: <what>, <order>
    Given upstreams with layers that report their start times
    When the first one restarts and tells "<what>" in the response to <call>, in the order "<order>"
    Then the listed incarnation counts as <known>

    Examples:
      | call            | what    | order               | known        |
      | a query         | leaving | row, sent, response | leaving      |
      | a query         | limit   | row, sent, response | rate limited |
      | a refused query | backoff | row, sent, response | backing off  |
      | a refused query | backoff | sent, response, row | backing off  |
      | a stream        | backoff | sent, response, row | backing off  |

  Scenario Outline: A new incarnation whose row is late tells in the response to <call>: <what>, <order>
    Given upstreams with layers that report their start times
    When the first one restarts and tells "<what>" in the response to <call>, in the order "<order>"
    Then the listed incarnation counts as <known>

    Examples:
      | call            | what    | order               | known        |
      | a query         | leaving | sent, response, row | leaving      |
      | a query         | leaving | sent, row, response | leaving      |
      | an order        | leaving | sent, response, row | leaving      |
      | a query         | limit   | sent, response, row | rate limited |
      | a query         | limit   | sent, row, response | rate limited |
      | a refused query | backoff | sent, row, response | backing off  |
      | a refused query | leaving | sent, response, row | leaving      |
      | a stream        | leaving | sent, response, row | leaving      |
      | a stream        | limit   | sent, response, row | rate limited |

  Scenario: A new incarnation isn't kept idle for good because the process's clock is ahead
    Given two plain upstreams that report their start times
    And the wall clock of the process is 5 seconds ahead
    When the first one announces its shutdown and restarts
    Then the new incarnation got no request for 15 seconds, and some within 25

  # Guards against a presumed shutdown that never expires because the row came before the response.
  Scenario Outline: Nor is one whose row came first kept idle for good: <order>
    Given two plain upstreams that report their start times
    And the wall clock of the process is 5 seconds ahead
    When the first one announces its shutdown and restarts, in the order "<order>"
    Then the new incarnation got no request for 15 seconds, and some within 25

    Examples:
      | order                        |
      | sent, response, restart, row |
      | sent, restart, row, response |

  # Guards against callers being refused because clocks differ while the upstreams could serve them.
  Scenario: Callers are served although all upstreams are presumed to leave
    Given two plain upstreams that report their start times
    And the wall clock of the process is 1 seconds ahead
    When all of them announce their shutdown and restart within a second
    Then every caller is served

  # Guards against notices that are dropped because the row of their sender has no start time.
  Scenario Outline: An upstream whose row has no start time tells one in its response to <call>: <what>
    Given upstreams with layers whose rows have no start times
    When the first one tells "<what>" and its start time in the response to <call>
    Then the listed incarnation counts as <known>

    Examples:
      | call            | what    | known        |
      | a query         | leaving | leaving      |
      | an order        | leaving | leaving      |
      | a query         | limit   | rate limited |
      | a refused query | backoff | backing off  |

  # Guards against a limit that comes back with a row after a later response ended it.
  Scenario: The rate limit of a new incarnation that ends before its row comes
    Given two plain upstreams that report their start times
    When the first one restarts, and names a limit and then none before its row comes
    Then the limit doesn't hold for the listed incarnation

  # The connection of a request was opening while the restart became known.
  Scenario Outline: A request addressed to an ended incarnation isn't sent to a new one: <what>
    Given two plain upstreams that report their start times
    When the first one restarts and <what> while the connection of a request is being opened
    Then the new incarnation got no request

    Examples:
      | what                         |
      | its row says that it leaves  |
      | it has asked for a backoff   |
