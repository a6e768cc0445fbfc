@processes
Feature: The soak's stand-in runner completes the orders that it accepts

  # Guards against losing an accepted order when the sender closes the connection during the load.
  Scenario: An accepted order completes after its sender closes the connection
    Given a stand-in runner with a capacity of 8 layers and a load time of 1 second
    When it accepts an order to hold layers 0-8 and the connection is closed immediately
    Then it reports an order in progress, and within 4 seconds layers 0-8
    And it refuses another order while one is in progress

  # Guards against the process exiting when a request is retried before its first run has ended.
  Scenario: A second run of a request completes after the first one is aborted
    Given a stand-in runner with a capacity of 8 layers and a load time of 0.15 second
    And it holds layers 0-8
    When a stream is requested twice with the same request id and the first connection is closed
    Then the second stream is complete
    And the stand-in runner is still running

  # Guards against records from which the judges can't tell what a request had become on its way, and
  # against paths that are checked only as they are when a run begins.
  Scenario: The records of a run tell what was received, and each path of it
    Given a stand-in runner with a capacity of 8 layers and a load time of 0.15 second
    And it holds layers 0-8
    When a stream is requested with a deadline, an account and a query, and its path is replaced
    Then its records say what it received, and the layers of both paths

  # Guards against refusing a stream because another runner on its path is slow to respond.
  Scenario Outline: A stream starts once every runner on its path reports holding its layers: <case>
    Given a stand-in runner with a capacity of 8 layers and a load time of 0.15 second
    And it holds layers 0-4
    And another runner that <state>
    When a stream is requested with layers 0-4 on the stand-in runner and 4-8 on the other
    Then the response status is <status> and <outcome>

    Examples:
      | case        | state                                          | status | outcome                             |
      | slow        | holds layers 4-8 and delays its first response | 200    | the stream is complete              |
      | not held    | holds layers 4-6                               | 421    | the response names the other runner |
      | unreachable | is not listening                               | 503    | the response names the other runner |

  # Guards against a gateway that is told by an accepted connection that a runner which has ended is
  # there: half an answer without a length then counts as whole.
  Scenario Outline: A runner's proxy accepts connections only while the runner does: <case>
    Given a proxy of a target that <state>
    When the target <event>
    Then a client that sees this connects to the proxy and is <outcome>

    Examples:
      | case               | state                  | event                                    | outcome  |
      | not started        | has not started        | has still to start                       | refused  |
      | started            | has not started        | starts                                   | accepted |
      | ended              | has an open connection | ends                                     | refused  |
      | ended by a reset   | has an open connection | ends with unread bytes                   | refused  |
      | listener ends last | has an open connection | closes its connection, then ends         | refused  |
      | ended the answer   | has an open connection | closes its connection                    | accepted |
      | restarted          | has an open connection | ends and starts again                    | accepted |
      | ended, link silent | has an open connection | ends behind a link that is silent        | accepted |
      | ended during a cut | has an open connection | ends while its link is silent for a time | refused  |

  # Guards against requests that count as lost at a process that closed their connection before a
  # late proxy passed them on.
  Scenario Outline: Bytes count as passed on by a proxy unless they cross the close: <case>
    Given a proxy of a target that has an open connection
    When the client's bytes reach the proxy <when>
    Then they count as passed on: <counts>

    Examples:
      | case             | when                                        | counts |
      | open             | while the connection is open                | yes    |
      | closed           | once the target has closed it               | no     |
      | answered, closed | once the target has sent bytes and closed it | no     |
