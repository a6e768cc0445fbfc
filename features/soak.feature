Feature: The real processes under faults from outside, by a seed

  Scenario: A short soak keeps every promise
    When the soak plays seed 7 with faults for 4 seconds
    Then it tells of no broken promise

  # Upstreams asked for time without requests and got them all the same: no upstream of the soak had
  # asked for anything.
  Scenario: Upstreams that ask for time or leave by word of their answers get what they ask for
    When the soak plays seed 5 for 4 seconds with upstreams that ask, and nothing else
    Then it tells of no broken promise
    And it judged times that upstreams had asked for

  # Requests ended every upstream that ran them: no upstream of the soak ended by what it was sent.
  Scenario: Requests that end their upstreams are stopped, and other callers served
    When the soak plays seed 2 for 5 seconds with requests that end upstreams, and nothing else
    Then it tells of no broken promise
    And it judged upstreams that had ended by requests

  # A caller of the soak took an answer that it could not read for one that its connection had lost,
  # and its connection's end for the end of what was to be judged: a chunk without a head passed.
  Scenario: A caller of the soak takes no answer that a strict reader would not
    When a caller of the soak gets an answer and then its connection's end
      | answer                    | bytes                                                | verdict        |
      | nothing                   |                                                      | cut            |
      | a part of a head          | HTTP/1.1 200 \r\nx-requ                              | cut            |
      | a head alone              | {head}                                               | cut            |
      | some events               | {head}{1}{2}                                         | cut            |
      | a part of an event        | {head}{1}{half 2}                                    | cut            |
      | the whole answer          | {head}{all}{end}                                     | whole          |
      | a refusal                 | HTTP/1.1 503 \r\nContent-Length: 2\r\n\r\nno         | whole          |
      | a chunk without a head    | {1}{2}                                               | no HTTP answer |
      | half an event, then again | {head}{1}{half 2}{2}                                 | no HTTP answer |
      | a half closed as a chunk  | {head}{1}{half 2 as chunk}                           | part           |
      | an event twice            | {head}{1}{1}                                         | lost, doubled  |
      | an event left out         | {head}{1}{3}                                         | lost, doubled  |
      | an early end              | {head}{1}{end}                                       | ended as whole |
      | a head behind a cut       | {head}{1}{head}                                      | no HTTP answer |
      | a second answer behind    | {head}{all}{end}{head}                               | no HTTP answer |
      | no length                 | HTTP/1.1 200 \r\n\r\nid                              | no HTTP answer |
      | two lengths               | HTTP/1.1 200 \r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nno | no HTTP answer |
      | a trailer                 | {head}{all}0\r\nx: 1\r\n\r\n                         | no HTTP answer |
      | another's request id      | HTTP/1.1 503 \r\nX-Request-Id: r2\r\nContent-Length: 2\r\n\r\nno | request id |
      | no seal                   | HTTP/1.1 200 \r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\nid | seal      |
    Then each time the verdict is the one said, at every place at which the bytes may be cut in two
