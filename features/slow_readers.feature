Feature: Callers and upstreams that read slowly hold neither places on paths nor memory

  # Guards against a caller that stops reading without closing: its stream kept its places on the
  # whole path until its deadline. Others are served by the same process meanwhile.
  Scenario Outline: A caller that stops reading loses its stream, and no other caller waits: <timeout>
    Given two chains of runners with long answers
    And callers may take <timeout> seconds for an event
    When a caller stops reading within an event while three others read
    Then its stream runs for <seconds> seconds after that, and its upstream's work <ends>
    And each of the others gets every event, none of them late
    And the log tells that <lines> connection was ended for caller-slow

    Examples:
      | timeout | seconds | ends         | lines |
      | 0.5     | 0.5     | is cancelled | 1     |
      | 0       | 3.0     | goes on      | 0     |

  # Guards against ending callers that are only slow, and that take each event within the time.
  Scenario: A caller that takes each event within the time keeps its stream
    Given two chains of runners with long answers
    And callers may take 0.5 seconds for an event
    When a caller stops reading for 0.4 seconds, three times
    Then it gets every event

  # Guards against the kernel's buffers: a few events find room there although nobody reads them.
  Scenario: A caller that reads nothing over TCP is noticed before the buffers are full
    When a caller over TCP, with events of 40 bytes each 5 ms and a timeout of 0.3 seconds, <does>
      | does          | end   |
      | reads         | whole |
      | reads nothing | reset |
    Then each time its connection ends as expected

  # Guards against bodies that fill the memory of a small process, also those that no upstream takes.
  Scenario Outline: Beyond the bound the connection that holds most ends first: <where>
    Given two chains of runners and a plain service
    And the process may hold 9000 bytes
    When callers' bodies of 3000, 4000 and 2500 bytes <where>
    Then the one of 4000 bytes is ended for held-bytes, and the others are served
    And nothing is held in the end

    Examples:
      | where                              |
      | have come but for their last bytes |
      | wait for upstreams to read them    |

  # Guards against answers that are collected: they count while they are read and until they are sent.
  Scenario: Collected answers count against the bound
    Given two chains of runners and a plain service
    And the process may hold 9000 bytes
    When two callers ask for answers of 6000 bytes, which come in two parts
    Then one of them is ended for held-bytes, and the other is served
    And nothing is held in the end

  Scenario: Without a bound nothing is ended, as before
    Given two chains of runners and a plain service
    When callers' bodies of 3000, 4000 and 2500 bytes wait for upstreams to read them
    Then all of them are served
