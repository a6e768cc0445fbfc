@admission
Feature: Under load, worth goes first, nobody is starved, and who can't be served knows at once

  Background:
    Given an entry's part of a model is 10 tokens a second, 0.1 seconds between tokens

  Scenario: What can't start before its deadline is refused on arrival
    When 2 requests of 10 tokens run
    And 6 requests of 10 tokens wait
    And a request of 10 tokens with 3 seconds to go arrives
    Then it is refused as overloaded at once, to come back in 6 seconds

  Scenario: What would take longer than its deadline by itself is refused on arrival
    When a request of 100 tokens with 5 seconds to go arrives
    Then it is refused as deadline at once, to come back in 1 seconds

  Scenario: A request that waited in vain is told when its last moment to start is over
    When 2 requests of 10 tokens run
    And a request of 10 tokens with 4 seconds to go arrives
    Then it is refused as deadline after 3.0 seconds, to come back in 1 seconds

  Scenario: The least of a full queue is told at once
    When 2 requests of 10 tokens run
    And the queue is full of requests worth 1
    And a request worth 5 arrives
    Then it waits, and one worth 1 was refused as overloaded at once

  Scenario: More worth for each token goes first
    When 2 requests of 10 tokens run
    And requests worth 1, 3, 2 wait
    And places come free one by one
    Then they start in the order 3, 2, 1

  Scenario: A large account can't starve a small one
    When 2 requests of 10 tokens run
    And 30 requests of the account large wait
    And 3 requests of the account small wait
    And places come free one by one
    Then all of small start among the first 8
