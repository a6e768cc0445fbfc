@at-most-once
Feature: A request that may not be repeated runs at most once

  Scenario: Twenty callers repeat the same key at once, at both entries
    When 20 callers send the same van at once
    Then the van ran exactly 1 time
    And everything that must hold holds

  Scenario: Claims that wait share a transaction
    When 40 callers send vans of their own at once
    Then every van ran exactly 1 time
    And the claims and results took at most 120 transactions
    And everything that must hold holds

  Scenario: A claim that arrives late, after its caller was told that it was not run
    Given the next claim reaches the platform 6 seconds late
    When a van is called with a key
    Then the van ran exactly 1 time
    And everything that must hold holds

  Scenario: A call that was not run can run with the same key
    Given the van service refuses connections for 3 seconds
    When a van is called with a key
    Then the van ran exactly 1 time
    And the call was answered
    And everything that must hold holds

  Scenario: A repeat after the holder is gone is unknown and never runs again
    Given the entry dies when the van is called
    When a van is called with a key
    Then the van ran at most 1 time
    And the last try was told unknown holder-gone
    And everything that must hold holds

  Scenario: The same key with another body
    When a van is called with a key
    And another van is called with the same key
    Then the other was told not run key-reused
    And everything that must hold holds

  Scenario: A holder that is paused past its caller's patience and wakes
    Given the entry is paused for 20 seconds when the claim is made
    When a van is called with a key
    Then the van ran at most 1 time
    And everything that must hold holds
