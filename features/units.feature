Feature: Single modules without a running site

  Scenario: Reordered, duplicate and stale frames give the answer exactly once
    Then the relay delivers the answer exactly once for 300 generated frame sequences

  Scenario Outline: A route with <wrong> is refused
    Then a route of layers <ranges> over 12 layers is refused with <message>

    Examples:
      | wrong          | ranges           | message              |
      | a gap          | 0-4 5-12         | layer 4 is next      |
      | an overlap     | 0-4 3-12         | layer 4 is next      |
      | a late start   | 1-12             | layer 0 is next      |
      | an early end   | 0-4 4-8          | ends at layer 8 of 12 |
      | too many       | 0-4 4-13         | ends at layer 13 of 12 |
      | no stage       | none             | ends at layer 0 of 12 |

  Scenario Outline: The error for settings with <wrong> names the place and the remedy
    Then settings with <line> in <section> are refused naming <named>

    Examples:
      | wrong             | section | line                     | named                           |
      | an unknown key    | entry   | lisen = 127.0.0.1:1      | [entry] lisen                   |
      | a bare number     | entry   | balancer_lag = 5         | a number and a unit             |
      | a wrong unit      | callers | body = 1MB               | KiB                             |
      | a host name       | entry   | listen = localhost:80    | IP:port                         |
      | a missing port    | entry   | listen = 127.0.0.1       | IP:port                         |
      | a word for number | callers | requests = many          | a whole number                  |
      | a strange section | nothing | a = 1                    | no such section                 |

  Scenario: The sample settings are valid and list every key with its default
    Then the sample settings are valid
    And the sample settings name every key with its default

  Scenario: Retries are limited to a share of the first attempts
    Then 1000 failed first attempts allow between 200 and 220 retries

  Scenario: The placement experiment shows which policy recovers fastest
    Then over 4 draws of one lost host, moving hosts is faster than widening and slicing afresh

  Scenario Outline: Changes arrive <how>
    Then changes <versions> leave version <version> and <models> models

    Examples:
      | how               | versions    | version | models |
      | in order          | 1 2 3       | 3       | 3      |
      | twice             | 1 1 2 2 3   | 3       | 3      |
      | with one missing  | 1 3         | 1       | 1      |
      | newest first      | 3 2 1       | 1       | 1      |

  Scenario: A full configuration never replaces a newer one
    Then an older configuration doesn't replace a newer one

  Scenario: Few keys move when a node joins
    Then at most 15 of 100 keys move when the 10th node joins, and only to it

  Scenario: The flow equals the minimum cut and is balanced where that loses no flow
    Then the flow through stages of 300, 200 and 400 tokens per second is 200
    And each of the 4 replicas of the last stage gets a flow of 50

  Scenario: A slow link limits the flow to the replicas behind it
    Then replicas behind a link of 1 token per second get 1 token per second

  Scenario Outline: An intent with <wrong> is refused, naming the field
    Then the intent <intent> is refused naming <named>

    Examples:
      | wrong             | intent                                           | named    |
      | no kind           | {}                                               | kind     |
      | an unknown field  | {"kind": "retire", "instance": "a", "x": 1}      | x        |
      | a missing field   | {"kind": "serve", "model": "m", "depth": 3}      | capacity |
      | no capacity       | {"kind": "hold", "model": "m", "capacity": 0}    | capacity |
      | a wrong type      | {"kind": "serve", "model": 3, "depth": 3, "capacity": 1} | model |
      | a bad hash        | {"kind": "account", "account": "a", "key_hash": "x", "tokens_per_second": 1} | key_hash |

  Scenario Outline: The answer to an outcome tells the client what to do: <outcome>
    Then <outcome> is <status> with <header>

    Examples:
      | outcome                 | status | header                 |
      | not run overloaded      | 429    | retry-after: 3         |
      | not run no-route        | 503    | retry-after: 3         |
      | not run key-reused      | 422    | x-should-retry: false  |
      | unknown upstream-lost   | 502    | x-should-retry: false  |
      | unknown deadline-passed | 504    | x-should-retry: false  |
      | unknown in-progress     | 409    | x-should-retry: false  |

  Scenario: The timeout that detects a stalled stage follows the stream's observed token gaps
    Then after gaps of 0.05 seconds the next token is due within 0.25 seconds
    And after gaps of 0.4 seconds the next token is due within 1.3 seconds
