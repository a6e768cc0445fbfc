Feature: A process that is out of processor time

  # Guards against a process that doesn't know that it is out of processor time.
  Scenario: An event loop that is always busy is told from one that waits
    When the event loop is busy for some of every 10 milliseconds
      | busy | share |
      | 1    | 0.1   |
      | 9    | 0.9   |
      | 10   | 1.0   |
    Then each sample tells the share and the length of a turn

  Scenario: The log tells when the event loop is saturated, and when no longer
    When samples of the event loop are busy for 0.5, then 5 times for 0.95, then 5 times for 0.5 of the time
    Then the log says "loop-saturated" after the 6th and "loop-recovered" after the 11th sample

  # Guards against connections that wait in the kernel's queue for a turn of the event loop each.
  Scenario: Connections that wait for a busy process are all accepted in one turn
    When 20 clients connect while the event loop is busy
    Then one turn accepts all of them, and later ones are accepted as they come

  # Guards against a process that takes more requests than its processor time allows, and against
  # one that turns connections away although it has room.
  Scenario Outline: Connections are turned away only where requests overload the event loop: <what>
    When a process with <requests> requests in flight has samples of the event loop <samples>
    Then <admitted> of 20 connections that come at once are admitted

    Examples: busy share and mean turn in milliseconds
      | what                            | requests | samples                              | admitted |
      | much room                       | 100      | 0.3/1 0.3/1 0.3/1                    | 20       |
      | busy with short turns           | 100      | 0.99/2 0.99/2 0.99/2                 | 20       |
      | a single long turn              | 100      | 0.5/1 1.0/900 0.5/1                  | 20       |
      | overloaded                      | 100      | 1.0/20 1.0/20                        | 1        |
      | few requests beside other work  | 4        | 1.0/20 1.0/20                        | 4        |
      | no longer overloaded            | 100      | 1.0/20 1.0/20 0.5/1                  | 20       |
      | overloaded a moment ago         | 100      | 1.0/20 1.0/20 0.8/1                  | 1        |

  Scenario: The bound falls while the event loop is overloaded, and rises while there is room
    When 100 requests are in flight, the event loop is overloaded for 2 seconds and has little room for 5
    Then the bound falls below 50 and then rises above 80

  # Guards against connections that are closed unread without a trace in the log.
  Scenario: The log tells of connections that are closed unread, in a bounded number of lines
    When 20 connections are closed unread for "load", 12 of them with a request in the socket
    Then one line of the log tells the reason "load", 20 connections, 12 with something to read and 8 clients
