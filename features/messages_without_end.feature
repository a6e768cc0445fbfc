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
      | 40,000 lines of 100 bytes        | 40000 | 100   | 1000000 | 10.0    |
      | 4 MB in pieces of 500 bytes      | 8000  | 500   | 1000000 | 2.0     |
