Feature: A number that is no status is no answer

  # Guards against callers that get, as a whole answer of an upstream, one whose status is 000 or any
  # other number that HTTP doesn't have.
  Scenario Outline: A caller gets 502 where an upstream's only answer has the status <status>: <route>, <framing>
    Given an upstream whose answer to a <route> request has the status <status>, <framing>
    When a caller asks for it
    Then the caller gets 502, not that answer

    Examples:
      | status | route  | framing |
      | 000    | once   | sized   |
      | 099    | once   | chunked |
      | 600    | once   | sized   |
      | 999    | once   | chunked |
      | 000    | fragile | sized   |
      | 600    | fragile | chunked |
      | 999    | fragile | sized   |

  # Guards against a refusal that is believed although it has no status.
  Scenario: A request may have run where its refusal has the status 600
    Given an upstream whose refusal of a once request has the status 600
    When a caller asks for it
    Then the caller gets 502, not that answer

  Scenario Outline: Another upstream serves a request that may be repeated: <status>
    Given two upstreams, the first of which answers an again request with the status <status>
    When a caller asks for it
    Then the caller gets 200 from the other one

    Examples:
      | status |
      | 000    |
      | 999    |

  # Guards against the same on the other ways to an answer: a health path, a report, the store, and
  # calls over httpcore.
  Scenario Outline: A <what> with the status <status> fails
    Given a server whose answers have the status <status>
    Then the <what> to it fails as <result>

    Examples:
      | what                | status | result      |
      | health probe        | 000    | silent      |
      | health probe        | 999    | silent      |
      | query for its load  | 999    | None        |
      | read of the store   | 000    | Failure     |
      | read of the store   | 999    | Failure     |
      | write to the store  | 600    | Failure     |
      | call over httpcore  | 000    | ReplyLost   |
      | call over httpcore  | 600    | ReplyLost   |

  Scenario: An answer with the status 999 of a peer, to which a request was handed over, is none
    Given a partitioned process whose peers answer with the status 999
    When a caller asks it for a call that may not be repeated
    Then the request was handed over, and the caller gets 502, not that answer
