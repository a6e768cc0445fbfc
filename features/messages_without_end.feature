Feature: Messages without an end, and in very small pieces, leave the event loop to others

  # Guards against answers that are bounded in bytes alone: one upstream that sends chunks of a byte
  # takes the event loop of all callers.
  Scenario Outline: An answer without an end is given up: <what>
    Given an upstream whose answer begins with <start> and goes on with <piece> without an end
    When it is read as <reader> while another task takes turns
    Then it is given up as malformed after at most 64 KiB, with turns of at most 64 pieces

    Examples:
      | what                          | start           | piece                               | reader |
      | chunks of a byte              | {chunked head}  | 1\r\nx\r\n                          | a body |
      | chunks of a byte, extensions  | {chunked head}  | 1;a=b\r\nx\r\n                      | a body |
      | interim answers               | {nothing}       | HTTP/1.1 100 Continue\r\n\r\n       | a body |
      | interim answers with a header | {nothing}       | HTTP/1.1 103 Hint\r\nA: b\r\n\r\n   | a body |
      | a head                        | {started head}  | X-A: b\r\n                          | a body |
      | a trailer                     | {chunked head}0\r\n | X-A: b\r\n                      | a body |
      | the size of a chunk           | {chunked head}  | 1                                   | a body |
      | a chunk extension             | {chunked head}1;a= | b                                | a body |
      | chunks of a byte, a duplicate | {chunked head}  | 1\r\nx\r\n                          | a duplicate |
      | chunks of a byte after one    | {duplicate}     | 1\r\nx\r\n                          | a duplicate |

  # Guards against a bound for each connection alone: many together take the whole processor.
  Scenario: Many answers without an end leave the processor to others
    When 64 connections of a pool read chunks of a byte without an end for 2 seconds
    Then they use at most half of a processor, and another task is late by at most 10 milliseconds in the median
    And an answer of 800 bytes in 80 chunks is read within 0.2 seconds meanwhile

  # Guards against a debt that the next call on a connection pays, and a wait that starts anew with each
  # reader that gives up.
  Scenario: A wait for the lane belongs to one message and goes on when it is given up
    Then the next message of a connection waits for nothing
    And a wait that ends each millisecond reads no more than one that goes on

  # Guards against a bound that ends sound answers: events one a chunk, and lines that are written at once.
  Scenario Outline: A whole answer in small pieces is read: <what>
    Given an upstream that answers with <count> chunks of <bytes> bytes, <pace> a second
    When its answer is read as a body beside another task
    Then the whole body is read within <seconds> seconds

    Examples:
      | what                             | count | bytes | pace    | seconds |
      | events at the pace of an engine  | 4000  | 1     | 1000    | 4.2     |
      | an answer of 800 bytes by byte   | 800   | 1     | 1000000 | 1.0     |
      | 1,000 short lines at once        | 1000  | 20    | 1000000 | 1.0     |
      | 3,000 lines of a byte at once    | 3000  | 1     | 1000000 | 2.0     |
      | 8,000 lines of 10 bytes at once  | 8000  | 10    | 1000000 | 3.0     |
      | 12,000 lines of 12 bytes at once | 12000 | 12    | 1000000 | 4.0     |
      | 40,000 lines of 100 bytes        | 40000 | 100   | 1000000 | 10.0    |
      | 4 MB in pieces of 500 bytes      | 8000  | 500   | 1000000 | 2.0     |

  # Guards against a bound on pieces that ends the search behind a duplicate.
  Scenario: The answer after a duplicate in small pieces is read
    Given an upstream that answers with {duplicate} and then 100 chunks of 5 bytes
    When its answer is read as a duplicate beside another task
    Then the whole body is read within 1 seconds

  # Guards against a read of thousands of events or comments that is parsed without a break.
  Scenario Outline: Small events are parsed in short turns and passed on whole: <what>
    Given a first upstream that streams <count> times <piece>, <number> a chunk
    When a caller requests that stream while the parsing is counted
    Then the caller received exactly these bytes, and a step of a task parsed at most 32 of them
    And they were passed on in at most <writes> writes

    Examples:
      | what                            | count | piece       | number | writes |
      | events without text in a chunk  | 2000  | id: {n}\n\n | 1000   | 80     |
      | events without text, one each   | 2000  | id: {n}\n\n | 1      | 80     |
      | comments before an event        | 5000  | :\n\n       | 5000   | 10     |
      | events with text                | 200   | id: {n}\ndata: 0123456789012345678901234567890123456789\n\n | 20 | 20 |

  # Guards against a read of thousands of frames of a peer that is merged without a break.
  Scenario: Small frames of a peer are merged in short turns
    Given an upstream whose answer begins with {chunked head} and goes on with {100 frames} without an end
    When that source of frames is followed for 2 seconds
    Then a turn merges at most 64 of 500 or more frames

  # Guards against a source whose frame never ends: each byte of it counted as a sign of life, and its
  # follower got no changes.
  Scenario: A source whose frame does not end is left
    Given an upstream whose answer begins with {chunked head}{start of a frame} and goes on with 1\r\nx\r\n, 2 a second
    When that source of frames is followed for 5 seconds
    Then the source is left as silent

  # Guards against a control message or a call of the store that lasts as long as its reply does.
  Scenario Outline: A reply without an end fails its query in time: <query>, <what>
    Given an upstream whose answer begins with {chunked head} and goes on with <piece> without an end
    When it gets the <query>
    Then the query fails as <result> within <seconds> seconds

    Examples:
      | query              | what             | piece          | result      | seconds |
      | query for its load | chunks of a byte | 1\r\nx\r\n     | None        | 1.0     |
      | query for its load | large chunks     | {large chunk}  | None        | 1.0     |
      | query by health    | chunks of a byte | 1\r\nx\r\n     | silent      | 1.0     |
      | query by health    | large chunks     | {large chunk}  | silent      | 1.0     |
      | order              | chunks of a byte | 1\r\nx\r\n     | unanswered  | 1.0     |
      | order              | large chunks     | {large chunk}  | unanswered  | 1.0     |
      | read of a table    | chunks of a byte | 1\r\nx\r\n     | Failure     | 3.0     |
      | read of a table    | large chunks     | {large chunk}  | Failure     | 3.0     |

  # Guards against a bound on pieces that slows the pages of the store.
  Scenario Outline: A page of 1 MB is read from the store: <what>
    Given a store whose page of 500 rows and 1 MB comes in <what>
    When it gets the read of a table
    Then the whole page came within 0.5 seconds

    Examples:
      | what                 |
      | one piece            |
      | chunks of 16384      |
      | chunks of 2000       |

  # Guards against a fixed penalty for failures: once the others had 20 calls in flight each, an upstream
  # that failed each call got as many as they did.
  Scenario Outline: An upstream that fails each call gets few of <callers> callers' calls
    Given three plain upstreams, the first of which fails each call
    When <callers> callers call them without a pause for 6 seconds
    Then at most <most> of <least> or more calls fail, and the others share the rest evenly

    Examples:
      | callers | most | least |
      | 6       | 15   | 150   |
      | 60      | 30   | 1500  |

  # Guards against answers that wait for each other until their deadlines pass, and count as no failures.
  Scenario: An answer in unpaid pieces that its caller's deadline cancels counts as a failure
    Given a plain upstream whose answer is chunks of a byte without an end
    When a caller with 100 ms left calls it
    Then the caller gets 504, and the upstream counts as failing

  # Guards against replies of engines and plain services that are held without a bound.
  Scenario Outline: A reply without an end to a call over httpcore is given up: <what>
    Given a server whose reply begins with {chunked head} and goes on with <piece> without an end
    When it is called with 10 seconds for the reply
    Then the reply is lost as one that does not end

    Examples:
      | what             | piece         |
      | chunks of a byte | 1\r\nx\r\n    |
      | large chunks     | {large chunk} |
