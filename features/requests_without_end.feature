Feature: Requests without an end, and in very small pieces, leave the event loop to others

  # Guards against bodies that are bounded in bytes alone: one caller without a key that sends chunks
  # of a byte takes the event loop of all others.
  Scenario Outline: A request without an end is refused: <what>
    Given a caller whose request begins with <start> and goes on with <piece> without an end
    When it is served while another task takes turns
    Then it is answered with <status> after at most 80 KiB, with turns of at most 64 pieces
    And the connection is closed at most 2.1 seconds after the answer

    Examples:
      | what                         | start              | piece          | status |
      | chunks of a byte             | {chunked head}     | 1\r\nx\r\n     | 400    |
      | chunks of a byte, extensions | {chunked head}     | 1;a=b\r\nx\r\n | 400    |
      | a trailer                    | {chunked head}0\r\n | X-A: b\r\n    | 431    |
      | the size of a chunk          | {chunked head}     | 1              | 431    |
      | a chunk extension            | {chunked head}1;a= | b              | 431    |

  # Guards against a bound that ends sound uploads: lines as they are made, and files in small writes.
  Scenario Outline: A whole request in small pieces is served: <what>
    Given a caller that sends <count> chunks of <bytes> bytes, <pace> a second
    When it is served beside another task
    Then the handler gets the whole body within <seconds> seconds

    Examples:
      | what                          | count | bytes | pace    | seconds |
      | lines at the pace of a log    | 3000  | 20    | 1000    | 3.2     |
      | 800 bytes by byte             | 800   | 1     | 1000000 | 1.0     |
      | 1,000 short lines at once     | 1000  | 20    | 1000000 | 1.0     |
      | 4 MiB in pieces of 100 bytes  | 41943 | 100   | 1000000 | 10.0    |
      | 4 MiB in pieces of 500 bytes  | 8388  | 500   | 1000000 | 2.0     |

  # Guards against a close with unread bytes: the reset drops the answer at the caller's host.
  Scenario Outline: A caller that sends its whole request before it reads gets the refusal: <what>
    Then a caller that sends <bytes> and then reads gets <status> over TCP

    Examples:
      | what                         | bytes                                       | status |
      | a body that is too large     | {long head}{5000000}                        | 413    |
      | a body that is not a chunk   | {chunked head}no size\r\n{3000000}          | 400    |
      | a head that is too large     | GET / HTTP/1.1\r\nHost: h\r\nA: {3000000}   | 431    |

  # Guards against heads that are bounded in bytes alone: thousands of fields of a byte fit into one.
  Scenario Outline: The number of fields is bounded: <what>
    When a caller sends a request with <fields> in its <part>
    Then it gets <status>, and the lane has <time> for it

    Examples:
      | what                  | fields               | part    | status | time    |
      | fields of a byte      | 3000 times a:        | head    | 431    | time    |
      | a trailer of these    | 3000 times a:        | trailer | 431    | time    |
      | many fields           | 400 times a: {text}  | head    | 200    | no time |
      | a trailer             | 400 times a: {text}  | trailer | 200    | no time |

  # Guards against a head of thousands of fields that is parsed whole before they are counted.
  Scenario: A head of too many fields is refused before it is parsed
    When a caller sends a head of 16000 fields of a byte
    Then it gets 431, and the parser has seen no whole head
