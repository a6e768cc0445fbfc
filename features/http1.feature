Feature: HTTP/1.1 connections, each side on its own

  Scenario Outline: The server is sent <what>
    When a client writes <bytes>
    Then it reads <answer>

    Examples:
      | what                             | bytes                                                                                            | answer         |
      | two requests at once             | GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n                             | 200 /a, 200 /b |
      | a chunked body                   | POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n           | 200 /a abc     |
      | both framings                    | POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 200 /a         |
      | no request                       | what is this\r\n\r\n                                                                             | 400            |
      | two lengths                      | POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n                    | 400            |
      | half a head, then nothing        | GET /a HTTP/1.1\r\nHos                                                                           | 408            |
      | a body that is too large         | POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n{2000}                                | 413            |
      | a header that is too large       | GET /a HTTP/1.1\r\nHost: h\r\nX: {3000}\r\n\r\n                                                  | 431            |
      | a connection to be closed        | GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n        | 200 /a         |
      | half a second head, then nothing | GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHos                                         | 200 /a, 408    |

  # Guards against a request that was read and gets no answer, since the answer to the one before it
  # closes the connection.
  Scenario Outline: A process that stops is sent <what>
    When a server that closes its connections is sent <bytes>
    Then it reads <answer>
    And only the last answer announces the close

    Examples:
      | what                                    | bytes                                                                                                         | answer                 |
      | one request                             | GET /a HTTP/1.1\r\nHost: h\r\n\r\n                                                                            | 200 /a                 |
      | two requests at once                    | GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n                                          | 200 /a, 200 /b         |
      | a second request during the first       | GET /a HTTP/1.1\r\nHost: h\r\n\r\n{later}GET /b HTTP/1.1\r\nHost: h\r\n\r\n                                   | 200 /a, 200 /b         |
      | three requests, one after another       | GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n{later}GET /c HTTP/1.1\r\nHost: h\r\n\r\n | 200 /a, 200 /b, 200 /c |
      | half of a second request, then the rest | GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHos{later}{later}{later}t: h\r\n\r\n                     | 200 /a, 200 /b         |

  # Guards against a drain that leaves served connections open, against one that closes a fresh
  # connection before its first request was answered, and against a close after an idle time that a
  # change has lengthened: clients use a connection for as long as the new one allows.
  Scenario Outline: An idle connection is closed in time: <which>
    When an idle connection <state> and the server <does> after 1 second
    Then it is closed after <seconds> seconds, with <answers> answers

    Examples:
      | which                           | state                | does                              | seconds | answers |
      | fresh                           | was never used       | goes on                           | 5       | 0       |
      | served                          | was served           | goes on                           | 5       | 1       |
      | served, drain                   | was served           | drains                            | 1       | 1       |
      | fresh, drain                    | was never used       | drains                            | 5       | 0       |
      | fresh, asking after the drain   | asks after 2 seconds | drains                            | 2       | 1       |
      | fresh, end                      | was never used       | drains and ends                   | 1       | 0       |
      | served, end                     | was served           | drains and ends                   | 1       | 1       |
      | fresh, longer idle time         | was never used       | lets it idle for 12 s             | 12      | 0       |
      | served, longer idle time        | was served           | lets it idle for 12 s             | 12      | 1       |
      | fresh, asking in a longer one   | asks after 8 seconds | lets it idle for 12 s             | 20      | 1       |
      | served, shorter idle time       | was served           | lets it idle for 2 s              | 5       | 1       |
      | served, longer idle time, drain | was served           | lets it idle for 12 s, and drains | 1       | 1       |

  # Guards against a proper request that is refused by limits which were replaced while its connection
  # was idle.
  Scenario Outline: The limits change while a connection is idle: <connection>, <what>
    When the limits triple after 1 second on a connection that <state>, and a client writes <bytes>
    Then it reads <answer>

    Examples:
      | connection | what                       | state          | bytes                                                             | answer                |
      | served     | a larger body              | was served     | POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n{2000} | 200 /a, 200 /b {2000} |
      | fresh      | a larger body              | was never used | POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n{2000} | 200 /b {2000}         |
      | served     | a larger header            | was served     | GET /b HTTP/1.1\r\nHost: h\r\nX: {2000}\r\n\r\n                   | 200 /a, 200 /b        |
      | served     | a header that is too large | was served     | GET /b HTTP/1.1\r\nHost: h\r\nX: {3000}\r\n\r\n                   | 200 /a, 431           |

  Scenario: A response that its handler leaves incomplete is cut off, not ended properly
    Then a stream whose handler returns early ends without its last chunk

  Scenario Outline: An upstream answers with <what>
    Given an upstream that writes <bytes>
    Then the call ends as <end> and the connection is <kept>

    Examples:
      | what                     | bytes                                                                        | end        | kept   |
      | a whole answer           | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok                                | 200 ok     | kept   |
      | a close                  | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok           | 200 ok     | closed |
      | surplus bytes            | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n              | 200 ok     | closed |
      | too little, then its end | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok{end}                            | lost       | closed |
      | no length, then its end  | HTTP/1.1 200 OK\r\n\r\nok{end}                                                | 200 ok     | closed |
      | a chunk cut off          | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab{end}             | lost       | closed |
      | no answer at all         | {end}                                                                        | lost       | closed |
      | bytes that are no answer | 12345 what\r\n\r\n                                                            | malformed  | closed |
      | 000 as its status        | HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok                               | malformed  | closed |
      | 099 as its status        | HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok                               | malformed  | closed |
      | 199, then its end        | HTTP/1.1 199 X\r\nContent-Length: 2\r\n\r\nok{end}                          | lost       | closed |
      | 600 as its status        | HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok                               | malformed  | closed |
      | 999 as its status        | HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok                               | malformed  | closed |
      | four digits              | HTTP/1.1 2000 X\r\nContent-Length: 2\r\n\r\nok                              | malformed  | closed |
      | a word for its status    | HTTP/1.1 abc X\r\nContent-Length: 2\r\n\r\nok                               | malformed  | closed |
      | a time for idling        | HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n          | 200        | closed |

  Scenario: The log never blocks on its reader, and reports what it dropped
    Then 1000 simultaneous decisions write at most 400 lines, and the next entry reports what was dropped
    And with a stalled reader no call blocks, and complete lines follow once it reads

  Scenario: Metrics are served as text
    Then the text contains the counters and durations

  Scenario Outline: The store client handles <what>
    Given a store that answers <status> with <body>
    Then a <call> gives <result>

    Examples:
      | what             | status | body                                                                       | call        | result      |
      | a row            | 200    | {"rows":[{"table":"t","part":"","tlsKey":"k","value":"eA==","ver":4}],"ver":9} | read    | x at 4      |
      | no row           | 200    | {"rows":[],"ver":9}                                                        | read        | nothing     |
      | a success        | 200    | {"ver":12}                                                                 | transaction | version 12  |
      | a conflict       | 412    | {"rows":[{"table":"t","part":"","tlsKey":"k","ver":4}]}                    | transaction | conflict    |
      | a refusal        | 503    | {}                                                                         | transaction | unavailable |
      | too many calls   | 429    | {}                                                                         | transaction | unavailable |
      | something else   | 500    | {}                                                                         | transaction | unknown     |
      | silence          | 0      | {}                                                                         | transaction | unknown     |
      | a malformed page | 200    | {"rows":3}                                                                 | read        | unavailable |
      | lost history     | 410    | {}                                                                         | feed        | incomplete  |
