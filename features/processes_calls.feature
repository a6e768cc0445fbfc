@processes
Feature: Real processes, real sockets, real signals: calls

  @at-most-once
  Scenario: A repeat at another entry gets the recorded answer
    Given a site of real processes
    When a van is sent with key k1 at entry-1
    And a van is sent with key k1 at entry-2
    Then both answers are the same
    And the van went 1 time

  @at-most-once
  Scenario: The same key with another body is refused
    Given a site of real processes
    When a van is sent with key k2 at entry-1
    And another van is sent with key k2 at entry-2
    Then the last answer is 422 not-run key-reused
    And the van went 1 time

  @at-most-once
  Scenario: The entry dies while the call runs
    Given a site of real processes
    When entry-1 gets SIGKILL while it sends a van with key k3
    And a van is sent with key k3 at entry-2
    Then the last answer is unknown
    And the van went at most 1 time

  @not-run @at-most-once
  Scenario: The platform freezes
    Given a site of real processes
    When process platform is sent SIGSTOP
    And a van is sent with key k4 at entry-1
    Then the last answer is 503 not-run platform-unavailable
    And the van went 0 times
    And entry-2 completes 10 tokens whole
