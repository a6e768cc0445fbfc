Feature: Callers and upstreams that read slowly hold neither places on paths nor memory

  # Guards against a caller that stops reading without closing: its stream kept its places on the
  # whole path until its deadline. Others are served by the same process meanwhile.
  Scenario Outline: A caller that stops reading loses its stream, and no other caller waits: <timeout>
    When one caller of four, which may take <timeout> seconds for an event, stops reading for 3
    Then after <seconds> seconds its stream has <end>, and the others got each event in time

    Examples:
      | timeout | seconds | end            |
      | 0.5     | 0.5     | been cancelled |
      | 0       | 3.0     | gone on        |

  # Guards against the kernel's buffers: a few events find room there although nobody reads them.
  Scenario: A caller that reads nothing over TCP is noticed before the buffers are full
    When callers over TCP may take 0.3 seconds for an event
    Then one that reads gets the whole response, and one that reads nothing a reset

  # Guards against bodies and collected answers that fill the memory of a small process, and against
  # a bound that closes connections whose answers have not begun.
  Scenario Outline: Beyond the bound calls wait for each other: <bound> bytes, <what>
    When a process that may hold <bound> bytes gets calls whose <what> take 3000, 4000 and 2500
    Then calls <served> are served, and nothing is held in the end

    Examples:
      | bound | what    | served         |
      | 9000  | bodies  | 2500 3000 4000 |
      | 9000  | answers | 2500 3000 4000 |
      | 0     | bodies  | 2500 3000 4000 |

  # Guards against ending all streams after a pause of the process, which their callers didn't cause.
  Scenario: A process that was paused gives its callers the whole timeout again
    When a process whose callers may take 1 second is paused for 6 with a write under way
    Then the caller is not ended on waking, but a second later if it still takes nothing

  # Guards against an exception in the check of all connections, which then isn't made for a while.
  Scenario: The check of slow readers goes on beside a connection that has just been closed
    When a caller leaves with a write under way while readers are checked
    Then the check of readers goes on
