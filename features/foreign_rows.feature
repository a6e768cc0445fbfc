Feature: Invalid rows in the store and malformed messages to peers add no upstream and hide none

  Scenario Outline: An upstream whose row becomes one <what> is not used, as if the row were deleted
    Given two plain upstreams that work
    When the row of one becomes one <what>
    Then no new request goes there, its kept connections are closed, and requests are served
    And that is logged once, with its key, however often the row is read, and counted each time
    And it is used again as soon as its row is good

    Examples: Missing fields
      | what                |
      | without service     |
      | without address     |
      | without zone        |
      | without slots       |
      | without state       |

    Examples: Fields with another type or an invalid value
      | what                                    |
      | with service = 3                        |
      | with service = ""                       |
      | with service = null                     |
      | with address = 7                        |
      | with address = null                     |
      | with zone = ["x"]                       |
      | with zone = ""                          |
      | with kind = 1                           |
      | with models = {"name": "m"}             |
      | with models = [3]                       |
      | with slots = "6"                        |
      | with slots = 6.5                        |
      | with slots = true                       |
      | with slots = 0                          |
      | with slots = -1                         |
      | with slots = 1000000000000000000000     |
      | with slots = NaN                        |
      | with slots = 1e999                      |
      | with slots = {5000 digits}              |
      | with sequence = {5000 digits}           |
      | with coldLeftMs = 1e999                 |
      | with born = {5000 digits}               |
      | with address = "10.1.2.3:65536"         |
      | with address = "10.1.2.3:{5000 digits}" |
      | with service = "\u0000"                 |
      | with sequence = "many"                  |
      | with coldLeftMs = "long"                |
      | with coldLeftMs = -1                    |
      | with version = {"name": "v1"}           |
      | with state = "unknown"                  |
      | with state = "Ready"                    |
      | with state = null                       |
      | with service = "unnamed"                |
      | with born = "1700000000000"             |
      | with born = 1700000000000.0             |
      | with born = 1.5                         |
      | with born = true                        |
      | with born = null                        |
      | with born = -1                          |
      | with born = 10000000000000000000000     |
      | with layers = 5                         |
      | with layers = {"rangeStart": 0}         |
      | with layers = {"rangeStart": -1, "targetVersion": 4} |
      | with layers = {"rangeStart": 4, "targetVersion": 2}  |
      | with layers = {"rangeStart": 0, "targetVersion": true} |
      | with layers = {"rangeStart": 0, "targetVersion": 1000000000} |
      | with layers = [{"rangeStart": 0, "targetVersion": 4}, {"rangeStart": 9, "targetVersion": 6}] |

    Examples: Malformed bytes
      | what                     |
      | of no bytes              |
      | of half its bytes        |
      | of bytes that are no text |
      | with a field that is no text |
      | of nested lists          |
      | with nested lists beside |
      | of a list                |
      | of null                  |

  Scenario Outline: A stream continues after the row of its <part> upstream has become invalid
    Given two chains of upstreams with a stream in flight
    When the row of its <part> upstream becomes invalid
    Then that stream completes on the same chain, and the next one takes the other chain

    Examples:
      | part   |
      | first  |
      | second |

  Scenario: A row that became invalid during an outage of the store does not count as lapsed
    Given two plain upstreams that work
    When the store recovers after an outage, and the rows of both are invalid
    Then no request goes to either

  Scenario Outline: A row <what> is valid
    Then a runner's row <what> is valid

    Examples:
      | what                                    |
      | without version                         |
      | without coldLeftMs                      |
      | without sequence                        |
      | with version = null                     |
      | with version = 7                        |
      | with coldLeftMs = null                  |
      | with coldLeftMs = 12.5                  |
      | with sequence = null                    |
      | with state = "draining"                 |
      | with kind = "card"                      |
      | with models = [{"name": "m", "version": 1, "adapters": []}] |
      | with layers = null                      |
      | with layers = []                        |
      | with layers = {"rangeStart": 0, "targetVersion": 0} |
      | with layers = {"rangeStart": 3, "targetVersion": 8, "version": 1} |
      | with layers = [{"rangeStart": 3, "targetVersion": 8}] |
      | with born = 1700000000000               |
      | with other = {"a": [1, 2, null]}        |

  Scenario Outline: The address <address> is <verdict>
    Then a row with the address <address> is <verdict>

    Examples:
      | address             | verdict |
      | 10.1.2.3:8080       | good    |
      | 127.0.0.9:65535     | good    |
      | 10.1.2.3:1          | good    |
      | [::1]:80            | bad     |
      | 10.1.2.3:0          | bad     |
      | 10.1.2.3:65536      | bad     |
      | 10.1.2.3:-1         | bad     |
      | 10.1.2.3:+80        | bad     |
      | 10.1.2.3:080        | bad     |
      | 10.1.2.3:8 0        | bad     |
      | 10.1.2.3:           | bad     |
      | 10.1.2.3            | bad     |
      | :80                 | bad     |
      | 10.1.2:80           | bad     |
      | 10.1.2.256:80       | bad     |
      | 010.1.2.3:80        | bad     |
      | 0.0.0.0:80          | bad     |
      | 224.0.0.1:80        | bad     |
      | 255.255.255.255:80  | bad     |
      | example.org:80      | bad     |
      | ::1:80              | bad     |
      | [fe80::1%eth0]:80   | bad     |
      | http://10.1.2.3:80  | bad     |
      | 10.1.2.3:٨٠         | bad     |

  Scenario Outline: A row under a key <what> is invalid, since the key can't be sent in a header
    Then a valid row becomes invalid under a key <what>

    Examples:
      | what              |
      | of no text        |
      | with a line end   |
      | with a space      |
      | with other letters |
      | of 201 letters    |

  Scenario Outline: A row <what> doesn't take over the address of a valid one: <way>
    Given two plain upstreams that work
    When a row <what> claims the address of one by <way>
    Then both upstreams are used

    Examples:
      | what                        | way        |
      | with state = "unknown"      | the feed   |
      | with service = "unnamed"    | the feed   |
      | with slots = -1             | the feed   |
      | of half its bytes           | the feed   |
      | with state = "unknown"      | a snapshot |
      | with service = "unnamed"    | a snapshot |
      | of half its bytes           | a snapshot |
      | that is good and soon gone  | the feed   |
      | that is good and soon bad   | the feed   |

  Scenario: An upstream of a service that is configured later is used from then on, for it only
    Given two plain upstreams that work
    When a third upstream has a service that is added to the desired state later
    Then it gets no request for another service, and is used once its service is configured

  Scenario: A row of an unconfigured service is logged once, even if it was read before the desired state
    Given two plain upstreams that work
    When a row of an unconfigured service exists before the first desired state
    Then it is logged once, and not before the first desired state

  Scenario: The number and the length of log lines about invalid rows are limited
    Given two plain upstreams that work
    When 2000 rows with long keys and invalid values are written
    Then at most 256 log lines of at most 400 characters report them, and each is counted
    And requests are served

  Scenario Outline: A page of the store contains a row <what>, beside valid ones
    Given a store whose rows are "a", one <what>, and "z"
    When the table is read, and its changes after version 5
    Then both contain the rows "a" and "z", and the feed continues from version 9
    And the malformed row has <outcome>

    Examples:
      | what                     | outcome  |
      | that is a number         | no key   |
      | that is null             | no key   |
      | without its key          | no key   |
      | whose key is a number    | no key   |
      | whose key is no text     | no key   |
      | whose version is a text  | no value |
      | whose version is missing | no value |
      | whose version is negative | no value |
      | whose value is a number  | no value |
      | whose value is missing   | no value |
      | whose value isn't base64 | no value |
      | whose value is not ASCII | no value |
      | whose value is cut       | no value |
      | whose removal is a text  | no value |

  Scenario: The page after one whose last row has no key is read
    Given a store of two pages, the first of which ends in a row without a key
    When the table is read
    Then the snapshot contains the rows of both pages

  Scenario: Reading a table ends at a page on which no row has a key
    Given a store whose pages hold only rows without a key
    When the table is read
    Then reading fails after at most 3 requests

  Scenario Outline: A malformed frame from a peer is rejected: <what>
    Then <what> of a peer are no frame

    Examples:
      | what                                    |
      | a frame of no bytes                     |
      | a frame of 4 GiB                        |
      | a frame of an unknown kind              |
      | bytes that aren't packed                |
      | nested lists                            |
      | nested lists behind a good frame        |
      | a text that is no text                  |
      | a version that is a text                |
      | a version that is negative              |
      | a moment that is no number              |
      | a moment without end                    |
      | a load that is no number                |
      | a load that is negative                 |
      | a compressed frame that is cut          |
      | a compressed frame with bytes behind it |
      | a compressed frame of 64 MiB of zeros   |
      | a frame of a million small rows         |

  Scenario: A source that sends malformed frames is counted and replaced by another one
    Given 6 processes of one domain over one store
    When they have settled and one that follows sends malformed frames to those that ask it
    Then its hearers count that and know of a change that follows within 2 seconds

  Scenario: A deeply nested request is rejected, and impossible reports are not forwarded
    Then a question with nested lists behind its last field is none
    And what a process tells of loads and moments that it holds is always a frame

  Scenario: A time in a peer's message that is later than now counts as now
    Then a frame that tells of tomorrow makes nothing known for later than now

  Scenario: The gossip continues whatever datagrams are received
    Given 4 processes in each of 1 domains that know only 1 seeds
    When foreign datagrams come to each of them
    Then each process still knows all of its domain, and at most 4096 others

  Scenario Outline: A plan row that holds <what> is ignored, and the next plan can be written
    Then a plan row that holds <what> is no plan, and the next plan can be written

    Examples:
      | what                       |
      | nothing                    |
      | bytes that are no text     |
      | nested lists               |
      | a number that is a text    |
      | a number that is negative  |
      | a number without bound     |
      | layers that are negative   |
      | an end before its start    |
      | layers without bound       |
      | two orders to one upstream |

  Scenario Outline: A report <what> is rejected
    Then a report <what> is none, and no question about it raises

    Examples:
      | what                                |
      | with nested lists beside            |
      | with running = -1                   |
      | with running = true                 |
      | with running = 1e400                |
      | with queued = 1000000000000000000000 |
      | with kvUsed = {400 digits}          |
      | with kvTotal = -5                   |
      | with sequence = -1                  |
      | with sequence = {400 digits}        |
      | with pace = -1                      |
      | with pace = 1e300                   |

  Scenario Outline: Generated <place>: valid entries are used, and invalid ones are not
    Then <count> generated sets of <place> raise nothing, lose no good row and use no bad one

    Examples:
      | place   | count |
      | rows    | 300   |
      | pages   | 150   |
      | frames  | 300   |
      | digests | 300   |
      | plans   | 200   |

  Scenario: An upstream that changed its address stays in use when another one takes the old address
    Then the upstreams in use match the store after each of these rows
      | key | address     |
      | i-0 | 10.0.0.1:80 |
      | i-1 | 10.0.0.1:80 |
      | i-1 | 10.0.0.2:80 |
      | i-2 | 10.0.0.1:80 |
