Feature: An upstream that restarts under its id is a new incarnation

  The id of an upstream used to be new for each incarnation, and 25 places of the gateway relied on it.
  An upstream may now restart under its old id, without its former layers and requests. The start time
  `born` in its rows and replies distinguishes the incarnations.

  Scenario: A report about an incarnation doesn't change what is known of a newer one
    Then after these reports about one id this start time is known
      | said                                             | known |
      | row 5                                            | 5     |
      | row 5, row 5                                     | 5     |
      | row 5, row 7                                     | 7     |
      | row 5, row 7, row 5                              | 7     |
      | row 5, all rows 7                                | 7     |
      | row 7, all rows 5                                | 7     |
      | row 5, report 7                                  | none  |
      | row 5, report 7, row 5                           | none  |
      | row 5, report 7, all rows 5                      | none  |
      | row 5, report 7, row 7                           | 7     |
      | row 5, report 7, gone                            | none  |
      | row 5, report 7, gone, row 5                     | none  |
      | row 5, report 9, row 7                           | none  |
      | row 5, report 9, row 7, row 9                    | 9     |
      | row 7, report 5                                  | 7     |
      | row 5, row 7, old report 5                       | 7     |
      | row 5, order 7                                   | none  |
      | row 5, order 7, row 7                            | 7     |
      | row 5, refused order 7                           | none  |
      | row 5, refused order 7, row 5                    | none  |
      | row 7, order 5                                   | 7     |
      | row 7, refused order 5                           | 7     |
      | row 5, misdirected order 7                       | 5     |
      | row 5, misdirected report 7                      | 5     |
      | row 5, misdirected pulse 7                       | 5     |
      | row 5, pulse 7                                   | none  |
      | row 5, move 7                                    | none  |
      | row 5, gone                                      | none  |
      | row 5, gone, row 5                               | 5     |
      | row 5, gone, row 7                               | 7     |
      | row 5, gone, row 7, row 5                        | 7     |
      | row 5, row nameless                              | -     |
      | row nameless, row nameless                       | -     |
      | row nameless, report 7                           | -     |
      | row nameless, row 7                              | 7     |
      | row 5, report nameless                           | 5     |
      | row 5, row fraction                              | none  |
      | row 5, row text                                  | none  |
      | row 5, row null                                  | none  |

  Scenario: A reply from another incarnation than the addressed one counts as no reply
    Then each reply has this result
      | asked | answers  | report     | pulse  | place      | move       |
      | 5     | 5        | 3 orders   | alive  | taken      | moved      |
      | 5     | nameless | 3 orders   | alive  | taken      | moved      |
      | 5     | 7        | unanswered | dead   | unanswered | unanswered |
      | 5     | 4        | unanswered | alive  | unanswered | unanswered |
      | none  | 5        | 3 orders   | alive  | taken      | moved      |

  Scenario: Ids that look like an id with its start time are distinct
    Then upstreams with these ids and start times are distinct, each with its own id on the wire
      | id    | born |
      | a     | 5    |
      | a@5   |      |
      | a@5   | 5    |
      | a@    |      |
      | b     |      |
      | @     | 1    |

  Scenario Outline: <part> restarts during a stream, its connections <connections>, reported by <told>
    Given two chains of runners that report their start times
    When <part> restarts after 5 events, its connections <connections>, and <told> reports it
    Then the caller got every event once, with no pause over <pause> seconds
    And every event passed each layer once
    And nothing counts as held or in flight at the older incarnation

    Examples:
      | part | connections | told         | pause |
      | x1   | reset       | its row      | 0.2   |
      | x1   | reset       | a late row   | 0.2   |
      | x1   | go silent   | its row      | 0.2   |
      | x1   | go silent   | a late row   | 0.5   |
      | x2   | reset       | its row      | 0.2   |
      | x2   | reset       | a late row   | 0.4   |
      | x2   | go silent   | its row      | 0.2   |
      | x2   | go silent   | a late row   | 0.4   |

  Scenario: Attempts at ended incarnations are dropped, however often a stream meets a restart
    Given two chains of runners that report their start times
    When the first stage of a stream restarts three times during the stream
    Then the caller got every event once, with no pause over 0.3 seconds

  Scenario Outline: A gap after a restart is planned at once: reported by <told>
    Given a chain of runners that report their start times, each with room for all layers
    When x2 restarts and <told> reports it
    Then every layer is ordered again within <late> seconds of that report

    Examples:
      | told     | late |
      | its row  | 0.5  |
      | a report | 0.5  |

  Scenario: An order sent to the older incarnation and accepted by the newer is in flight for neither
    Given a chain of runners that report their start times, and an empty one to fill a gap
    When x2 is lost, and x3 restarts and accepts the order meant for its older incarnation
    Then x3 got another order within 0.6 seconds of its row, though a load takes 4 seconds

  Scenario: A row that is missing when the store recovers may be that of an ended incarnation
    Given two chains of runners that report their start times
    When the row of x2 is missing at the store's return and x2 started again
    Then its layers are ordered elsewhere between 0 and 0.8 seconds after it

  Scenario: A peer that still forwards an older incarnation doesn't revive it
    Then after these updates from peers about one id this start time is known
      | told                           | known |
      | changes 5, changes 7           | 7     |
      | changes 5, all 7               | 7     |
      | changes 7, all older 5         | 7     |
      | changes 7, changes older 5     | 7     |
      | changes 7, all 5               | 7     |
      | changes 7, changes 5           | 7     |

  Scenario: In a store outage an upstream that restarted gets nothing until its row arrives
    Given two chains of runners that report their start times
    When x2 restarts while the store is unavailable and only a report shows it
    Then streams run in domain y from that report on, and x2 is usable after the store's return

  Scenario: Idle connections to the older incarnation are closed
    Given a plain upstream that reports its start time
    When it restarts between two calls without closing its connections
    Then the second call was answered within 0.2 seconds
