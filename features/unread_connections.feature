Feature: Connections whose requests this process doesn't read

  # Guards against a reset of connections whose whole request has waited in the accept queue of a
  # late process: their callers get neither an answer nor a refusal.
  Scenario Outline: A connection beyond the bound is refused if it has waited for long: <what>
    Given a server that admits no connection
    When the event loop is late by <late> s, and a caller connects <before> s before it goes on and <sends>
    Then the caller reads <gets> while no request is handled

    Examples: a request counts as read 0.2 s after it was sent
      | what                          | late | before | sends             | gets  |
      | sent with the connect         | 0.5  | 0.45   | sends a request   | a 503 |
      | nothing sent yet              | 0.5  | 0.45   | sends it later    | a 503 |
      | sent a moment before          | 0.5  | 0.45   | sends it late     | reset |
      | a part of a request sent      | 0.5  | 0.45   | sends half a head | a 503 |
      | connected a moment before     | 0.02 | 0.01   | sends a request   | reset |
      | a moment before, nothing sent | 0.02 | 0.01   | sends nothing     | reset |
      | never sent                    | 0.5  | 0.45   | sends nothing     | close |

  # Guards against a refusal that costs as much as a request, and against refusals without a bound.
  Scenario: Refusals of a late process are bounded in number, and each caller gets its end at once
    Given a server that admits no connection
    When 200 callers connect while the event loop is late by 0.5 s, every second one with a request
    Then each that sent a request gets a 503, and no request is handled
    And all connections are closed within 1.5 s

  # Guards against a reset of the request that a caller sends as its idle connection is closed.
  Scenario Outline: A request that lies in an idle connection is answered: <what>
    Given a server whose idle timeout is 0.2 s, and a caller with a served connection
    When the caller sends a request in the turn of the event loop in which <what>
    Then the second answer is <gets>

    Examples:
      | what                        | gets            |
      | the idle timeout passes     | a 200           |
      | idle connections are closed | a 200           |
      | idle connections all end    | a 200           |

  # Guards against a stop that ends before a late process has refused what had arrived.
  Scenario Outline: A late process answers what arrived before its end: <what>
    Given a server that admits <admits>, whose turns of the event loop last <turn> s
    When it stops, and a caller sends a request of <size> KB after 0.1 s in a turn that lasts <longer> s more
    Then a whole answer with a close reaches the caller

    Examples: it refuses requests 0.6 s after it was stopped
      | what                                   | turn | admits          | size | longer |
      | beyond the bound                       | 0.0  | no connection   | 0    | 0.2    |
      | beyond the bound, as the listener ends | 0.0  | no connection   | 0    | 0.6    |
      | each turn late, as the listener ends   | 0.06 | all connections | 0    | 0.6    |
      | each turn very late                    | 0.25 | all connections | 0    | 0.6    |
      | the request takes some turns           | 0.25 | all connections | 48   | 0.6    |

  # Guards against a stop that ends while a late process still reads what has long been sent.
  Scenario Outline: A late process reads a long request to its end before its own: <size> KB, <turn> s
    Given a server that admits all connections, whose turns of the event loop last <turn> s
    When it stops, and a caller's request of <size> KB is being sent after 0.1 s
    Then a whole answer with a close reaches the caller

    Examples: it refuses requests 0.6 s after it was stopped
      | size | turn |
      | 600  | 0.25 |
      | 900  | 0.25 |
      | 900  | 0.1  |
      | 900  | 0.05 |

  # Guards against a request that comes whole in the last turns of a late process.
  Scenario Outline: A late process answers a request that becomes whole in one of its last turns: <turn>
    Given a server that admits all connections, whose turns of the event loop last 0.25 s
    When it stops, and a caller with half a head sends the rest <turn> turns after the last accept
    Then the caller gets a whole answer, or a close within 0.2 s

    Examples:
      | turn |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
