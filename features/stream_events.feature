Feature: Bytes of an upstream are forwarded only as the next event of its stream

  Scenario Outline: An upstream sends <what>, and it is forwarded unchanged
    Given a first upstream whose chunks contain <bytes>
    When a caller requests that stream
    Then the caller received exactly the bytes that this upstream sent, from it alone

    Examples:
      | what                                   | bytes                                                              |
      | single events                          | {1..20}                                                            |
      | two new events in one read             | {1-4}{read}{5-6}{read}{7-20}                                       |
      | an event over three reads              | {1-5}id: 6{read}\ndata: r1 6\n{read}\n{7..20}                      |
      | an event whose first line has a number | {1-5}versions: 3\nid: 6\ndata: r1 6\n\n{7..20}                     |
      | an event without data                  | {1-5}id: 6\n\n{7..20}                                              |
      | an event with more lines               | {1-5}event: token\nid: 6\ndata: a\ndata: b\nretry: 9\n\n{7..20}    |
      | a comment between events               | {1-5}: ping\n\n{6..20}                                             |
      | a comment in its own read              | {1-5}{read}: ping\n\n{6..20}                                       |
      | a comment before and behind all events | : ping\n\n{1..20}{read}: ping\n\n                                  |
      | a comment inside an event              | {1-5}: ping\nid: 6\ndata: r1 6\n\n{7..20}                          |
      | an empty line too many                 | {1-5}\n{6..20}                                                     |
      | line ends of two bytes                 | id: 1\r\ndata: a\r\n\r\n{read}id: 2\r\ndata: b\r\n\r\n             |
      | line ends of two bytes, cut anywhere   | id: 1\r\ndata: a\r{read}\n\r{read}\nid: 2\r\ndata: b\r\n{read}\r\n |

  Scenario Outline: An upstream sends <what>: the stream continues on another upstream after event <last>
    Given a first upstream that answers with <framing> <bytes> and <end>
    When a caller requests a resumable stream and one that is not resumable
    Then the first delivered every event once, from two upstreams
    And the other delivered the events up to <last>, and no proper end

    Examples: Bytes that are not an event
      | what                                 | framing  | bytes                                                      | end    | last |
      | another answer in its body           | unframed | {1-5}{read}{head}id: 6\ndata: r2 6\n\n                     | closes | 5    |
      | another answer, one read             | unframed | {1-5}{head}id: 6\ndata: r2 6\n\n                           | closes | 5    |
      | another answer behind its last event | unframed | {1..20}{read}{head}id: 1\ndata: r2 1\n\n                   | closes | 20   |
      | another answer in half an event      | unframed | {1-5}{read}id: 6\ndata: r{head}id: 6\ndata: r2 6\n\n       | closes | 5    |
      | another head in small letters there  | unframed | {1-5}{read}id: 6\ndata: r{small head}id: 6\ndata: r2 6\n\n | closes | 5    |
      | another answer before all events     | unframed | {head}{1..20}                                              | closes | 0    |
      | an event without an id               | chunked  | {1-5}{read}data: r2 6\n\n{6..20}                           | closes | 5    |
      | an id alone that is no number        | chunked  | {1-5}{read}id: six\n\n{6..20}                              | closes | 5    |
      | an event whose id is no number       | chunked  | {1-5}{read}id: six\ndata: r1 6\n\n{7..20}                  | closes | 5    |
      | an id of 5000 digits                 | chunked  | {1-5}{read}id: {5000 digits}\ndata: r1 6\n\n{7..20}        | closes | 5    |
      | an event with two ids                | chunked  | {1-5}{read}id: 6\nid: 7\ndata: r1 6\n\n{7..20}             | closes | 5    |
      | a line without a field's name        | chunked  | {1-5}{read}id: 6\nwhat is this\ndata: r1 6\n\n{7..20}      | closes | 5    |
      | other bytes                          | chunked  | {1-5}{read}%$!\n\n{6..20}                                  | closes | 5    |
      | other bytes in a good event's read   | chunked  | {1-5}{read}{6-7}%$!\n\n{8..20}                             | closes | 7    |

    Examples: Ids that do not increase by one
      | what                         | framing  | bytes                       | end    | last |
      | an event twice in one read   | chunked  | {1-5}{read}{6-6}{6-6}{7-20} | closes | 6    |
      | an event twice in two reads  | chunked  | {1-5}{read}{6-6}{6..20}     | closes | 6    |
      | an older event again         | chunked  | {1-5}{read}{2-2}{6..20}     | closes | 5    |
      | all events again             | unframed | {1-5}{1..20}                | closes | 5    |
      | an event too few             | chunked  | {1-5}{7..20}                | closes | 5    |
      | an event too few in one read | chunked  | {1-4}{read}{5-5}{7-20}      | closes | 5    |

    Examples: Improper ends
      | what                               | framing  | bytes                     | end    | last |
      | half an event, then its end        | unframed | {1-5}{read}id: 6\ndata: r | closes | 5    |
      | half an event, then a reset        | unframed | {1-5}{read}id: 6\ndata: r | resets | 5    |
      | half an event of a proper length   | sized    | {1-5}{read}id: 6\ndata: r | closes | 5    |
      | half an event and a proper end     | chunked  | {1-5}{read}id: 6\ndata: r | closes | 5    |
      | a reset behind an event            | unframed | {1-5}                     | resets | 5    |
      | a reset behind its last event      | unframed | {1..20}                   | resets | 20   |
      | a reset before its length          | sized    | {1-5}                     | resets | 5    |
      | a reset before its last chunk      | chunked  | {1-5}                     | resets | 5    |
      | no event at all and no length      | unframed | {nothing}                 | closes | 0    |
      | no event at all, with a proper end | chunked  | {nothing}                 | closes | 0    |
      | a comment and no event             | unframed | : ping\n\n                | closes | 0    |

    # Guards against taking the end of an upstream for the end of its answer: the connections of a
    # process that exits are closed in good order, and streams ended as complete after 4 and 12 of 30
    # events.
    Examples: The end of the process, without a length
      | what                                   | framing  | bytes   | end                  | last |
      | half of its events, and exits          | unframed | {1-5}   | exits                | 5    |
      | its last event, and exits              | unframed | {1..20} | exits                | 20   |
      | half, and exits behind a proxy         | unframed | {1-5}   | exits behind a proxy | 5    |
      | half, and restarts at once             | unframed | {1-5}   | restarts             | 5    |
      | half, and another one gets its address | unframed | {1-5}   | is replaced          | 5    |
      | half, and answers nothing more         | unframed | {1-5}   | falls silent         | 5    |

  Scenario Outline: An answer is complete if <what>
    Given a first upstream that answers with <framing> <bytes> and <end>
    When a caller requests that stream
    Then the caller received the events up to <last> and a proper end, from one upstream
    And that upstream's connection is <kept>

    Examples:
      | what                                       | framing  | bytes                                     | end        | last | kept   |
      | its connection ends properly behind events | unframed | {1..20}                                   | closes     | 20   | closed |
      | it ends so behind fewer: nobody can tell   | unframed | {1-5}                                     | closes     | 5    | closed |
      | its upstream answers queries late by then  | unframed | {1..20}                                   | slows down | 20   | closed |
      | its upstream leaves but has not ended      | unframed | {1..20}                                   | leaves     | 20   | closed |
      | nothing follows it                         | chunked  | {1..20}                                   | stays open | 20   | kept   |
      | another answer follows its length          | sized    | {1-20}{over}{head}id: 21\ndata: r2 21\n\n | stays open | 20   | closed |
      | another answer follows its last chunk      | chunked  | {1-20}{over}{head}id: 21\ndata: r2 21\n\n | stays open | 20   | closed |

    Examples: The process has ended behind the declared end
      | what                    | framing | bytes  | end   | last | kept |
      | it has its whole length | sized   | {1-20} | exits | 20   | kept |
      | it has its last chunk   | chunked | {1-20} | exits | 20   | kept |

  Scenario Outline: The end of an answer with <framing> bytes costs <count> queries
    Given a first upstream that answers with <framing> {1..20} and <end>
    When a caller requests that stream
    Then the upstreams got <count> queries at the end of that answer

    Examples:
      | framing  | end        | count |
      | unframed | closes     | 1     |
      | sized    | stays open | 0     |
      | chunked  | stays open | 0     |

  Scenario: Which reply shows that an upstream is still there after an answer without a length
    Then the end of its answer counts as the end of the body after these replies
      | query                  | connection | newer start known | counts |
      | alive                  | unused     | no                | yes    |
      | alive                  | unused     | yes               | no     |
      | alive, not identified  | unused     | no                | no     |
      | dead                   | unused     | no                | no     |
      | silent                 | unused     | no                | no     |
      | not sent               | unused     | no                | no     |
      | not accepted           | unused     | no                | no     |

  # Guards against whole streams that count as cut at an upstream that resets the connections of
  # queries, and against a connection that went silent in place of a close.
  Scenario: Which replies are believed beside another connection to the upstream
    Then beside a connection that stays open, the end of its answer counts after these replies
      | query                  | connection | counts |
      | alive                  | unused     | yes    |
      | alive, not identified  | unused     | no     |
      | silent                 | unused     | no     |
      | dead                   | silent     | yes    |
      | dead                   | dead       | no     |
      | not sent               | unused     | yes    |
      | not accepted           | alive      | yes    |
      | not accepted           | silent     | no     |
      | not accepted           | dead       | no     |

  # Guards against half an answer of a plain upstream that restarted while this process was paused:
  # the next start accepts connections at the same address.
  Scenario: Which reply at its health path shows that a plain upstream is still there
    Then the end of a plain upstream's answer counts as the end of the body after these replies
      | health path | connection | paused | counts |
      | alive       | unused     | no     | yes    |
      | alive       | unused     | yes    | yes    |
      | dead        | unused     | no     | no     |
      | silent      | unused     | no     | no     |
      | unasked     | unused     | no     | no     |
      | unasked     | unused     | yes    | no     |
      | none        | unused     | no     | no     |
      | none        | unused     | yes    | no     |

  Scenario Outline: The reply at a health path tells the incarnation: <what>
    Then the reply <reply> at the health path of upstream "a" shows that it is <result>

    Examples:
      | what                  | reply                                                           | result |
      | the same              | HTTP/1.1 200 OK\r\nX-Instance-Id: a\r\nContent-Length: 0\r\n\r\n  | alive  |
      | the same, leaving     | HTTP/1.1 503 No\r\nX-Instance-Id: a\r\nContent-Length: 0\r\n\r\n  | alive  |
      | another one           | HTTP/1.1 200 OK\r\nX-Instance-Id: b\r\nContent-Length: 0\r\n\r\n  | dead   |
      | misdirected           | HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n                     | dead   |
      | full, no name         | HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n | silent |
      | cut                   | HTTP/1.1 200 OK\r\n{end}                                        | silent |
      | nothing               | {none}                                                          | silent |
      | a refused connection  | {refused}                                                       | dead   |

  Scenario Outline: A caller that has events up to <seen> resumes at an upstream that sends <what>
    Given a first upstream whose chunks contain <bytes>
    When a caller that has the events up to <seen> requests the rest
    Then the caller received the events from <first> to 20 once, from <upstreams>

    Examples:
      | what                  | bytes        | seen | first | upstreams |
      | the next ones         | {6..20}      | 5    | 6     | one       |
      | all from the first on | {1-3}{4..20} | 5    | 6     | one       |
      | one too few           | {7..20}      | 5    | 6     | two       |
      | nothing, all was sent | {nothing}    | 20   | 21    | one       |

  Scenario: An endless event is abandoned before it exhausts memory
    Given a first upstream whose answer is 5 events and 16 MiB of one event
    When a caller requests that stream
    Then the caller got every event once
    And at most 2 MiB of that answer were read

  Scenario: Comments do not hide a stalled stream
    Given a first upstream that sends 5 events and then only comments for 4 seconds
    When a caller requests that stream, and the upstream answers no query of the gateway
    Then the caller got every event once, with no pause over 0.6 seconds

  Scenario Outline: A plain upstream answers with <what>
    Given a plain upstream that answers with <framing> <bytes> and <end>, and another that works
    When a caller calls <route>
    Then the caller gets <status> with <body>

    Examples:
      | what                             | framing  | bytes              | end        | route | status | body         |
      | a body up to its proper end      | unframed | first              | closes     | once  | 200    | first        |
      | a body cut by a reset            | unframed | first              | resets     | once  | 502    | no seal      |
      | a body cut by a reset            | unframed | first              | resets     | again | 200    | answer to r1 |
      | another answer in its body       | unframed | first{read}{head}x | closes     | once  | 502    | no seal      |
      | another answer in its body       | unframed | first{read}{head}x | closes     | again | 200    | answer to r1 |
      | another answer's half head there | unframed | fi{half head}      | closes     | again | 200    | answer to r1 |
      | another answer in place of it    | unframed | {head}x            | closes     | again | 200    | answer to r1 |
      | such bytes with a length         | sized    | first{head}x       | stays open | once  | 200    | first{head}x |
      | another answer behind its length | sized    | first{over}{head}x | stays open | once  | 200    | first        |

    # The same failure of a plain upstream, which can't be queried: it would execute the query.
    Examples: The end of the process, without a length
      | what                           | framing  | bytes | end                  | route | status | body         |
      | a body, and exits              | unframed | fir   | exits                | once  | 502    | no seal      |
      | a body, and exits              | unframed | fir   | exits                | again | 200    | answer to r1 |
      | a body, exits behind a proxy   | unframed | fir   | exits behind a proxy | once  | 502    | no seal      |
      | a body, exits behind a proxy   | unframed | fir   | exits behind a proxy | again | 200    | answer to r1 |
      | a body, and falls silent       | unframed | fir   | falls silent         | again | 200    | answer to r1 |
      | a body of its length, exits    | sized    | first | exits                | once  | 200    | first        |

  Scenario Outline: A plain upstream's refusal <what>
    Given a plain upstream that refuses with <framing> <bytes> and <end>, and another that works
    When a caller calls once
    Then the caller gets <status> with <body>

    Examples:
      | what                                     | framing  | bytes     | end        | status | body         |
      | that is whole lets it be tried again     | sized    | full      | stays open | 200    | answer to r1 |
      | with another answer behind does, too     | unframed | fu{head}x | closes     | 200    | answer to r1 |
      | that a reset cuts is no answer           | sized    | full      | resets     | 502    | no seal      |
      | that a reset cuts is none without length | unframed | full      | resets     | 502    | no seal      |

  Scenario: Over sockets, a reset after a body without a length is distinguished from a proper end
    Then over loopback a body without a length is complete after a close and lost after a reset

  Scenario: For any answer, a caller reads a prefix of its stream, complete or visibly cut off
    Then that holds for 100 generated answers

  Scenario: Hostile bytes of an upstream take little CPU time
    Then reading takes at most this many milliseconds of CPU time
      | what                              | most ms |
      | 24 comment lines, then no event   | 100     |
      | 2000 lines of two byte ends       | 100     |
      | 300 KB of small comments          | 300     |
      | 1 MB of one event, 1 KB a read    | 300     |
      | status lines without end, 60 KB   | 100     |
      | line ends alone, 4 MiB            | 300     |
