Feature: Messages wait for room in memory, and no request that was handed on ends for another's sake

  # Guards against a bound on held bytes that closes the connections of requests which an upstream
  # has, or may get, without an answer. Declared messages stay within the bound; of others one more
  # may be held, and a read on each connection.
  Scenario Outline: Many large messages at once are all answered: <what>, bound <bound>
    Given a process that may hold <bound> bytes, and an upstream that takes 2 bodies at a time
    When <count> callers at once send <what> of <size> bytes
    Then each of them is answered, each request ran once, and at most <most> bytes were held

    Examples:
      | what                     | bound   | count | size   | most     |
      | bodies                   | 1000000 | 16    | 200000 | 1000000  |
      | bodies in chunks         | 1000000 | 16    | 200000 | 1500000  |
      | answers                  | 1000000 | 16    | 200000 | 1000000  |
      | answers in chunks        | 1000000 | 40    | 200000 | 5849664  |
      | failing answers          | 1000000 | 16    | 200000 | 1000000  |
      | bodies beyond the bound  | 100000  | 4     | 200000 | 300000   |
      | answers beyond the bound | 100000  | 4     | 200000 | 300000   |
      | small bodies             | 10000   | 16    | 2000   | 32000    |
      | bodies                   | 0       | 16    | 200000 | 16000000 |

  # Guards against streams that keep room after their upstreams have the bodies.
  Scenario: Streams with large bodies at once are all served
    Given a process that may hold 500000 bytes, and an upstream that takes 2 bodies at a time
    When 3 streams at once begin with bodies of 200000 bytes
    Then each stream is whole, and at most 500000 bytes were held

  # Guards against a wait for room without an end, and against requests that are refused unread
  # although an upstream got them.
  Scenario: A body that gets no room within half of its time is refused, and its connection is kept
    Given a process that may hold 1000000 bytes, and an upstream that takes 0 bodies at a time
    When 6 callers at once send bodies of 200000 bytes with 4 seconds, and one a small one later
    Then 4 of them get 503 with a time to come back after 2 seconds, and no upstream saw them
    And their connections take another request

  # Guards against callers that announce a large body and send it slowly: they held the room for good.
  Scenario Outline: A body that does not come in its time gives its room to others, after <pause>
    Given a process that may hold 1000000 bytes, and an upstream that takes 2 bodies at a time
    When 2 callers send a byte a second of bodies of 240000 bytes with 4 seconds, and another a body after <pause> seconds
    Then that one is served within <seconds> seconds, and they get 408

    Examples:
      | pause | seconds |
      | 0.5   | 4.0     |
      | 6.0   | 0.5     |

  # Guards against upstreams that stop in the middle of an answer: calls to others got no room.
  Scenario: Answers that stop take little more room than what came of them
    Given a process that may hold 5000000 bytes, and an upstream that takes 2 bodies at a time
    When 6 answers of 3000000 bytes stop after 10000, and 6 answers of 1000000 bytes come later
    Then the later ones are served within a second

  # Guards against a right to exceed the bound that goes to a connection which has just been ended:
  # no message that grows got room any more.
  Scenario: A connection that is ended while it waits for room leaves its turn to others
    When one of two responses that wait to grow belongs to a connection that is ended
    Then a third one still gets room

  # Guards against ending connections whose answer hasn't begun in place of those that don't read.
  Scenario Outline: Callers that don't read are ended beyond the bound: <sizes>
    Given connections with unread answers of <sizes> bytes
    And one that holds <waiting> bytes and waits for its answer
    When all of these exceed the bound of 1500000 bytes
    Then only the connections with <ended> unread bytes are ended, and the log names their requests

    Examples:
      | sizes                                | waiting | ended  |
      | 200000, 400000 and 300000            | 900000  | 400000 |
      | 50000, 60000, 40000, 55000 and 50000 | 1300000 | 60000  |
      | 50000 and 60000                      | 1450000 | no     |
