@at-most-once
Feature: A request that may not be repeated is executed at most once

  Scenario: Twenty callers repeat the same key at once, at both entries
    When 20 callers send the same van at once
    Then the van ran exactly 1 time
    And everything that must hold holds

  Scenario: Waiting claims share a transaction
    When 40 callers send vans of their own at once
    Then every van ran exactly 1 time
    And the claims and results took at most 120 transactions
    And everything that must hold holds

  Scenario: A claim arrives late, after its caller learned that the request was not run
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

  Scenario: A repeat after the holder was lost has an unknown outcome and never runs again
    Given the entry dies when the van is called
    When a van is called with a key
    Then the van ran at most 1 time
    And the last try was told unknown holder-gone
    And everything that must hold holds

  Scenario: A key that is reused with another body is rejected
    When a van is called with a key
    And another van is called with the same key
    Then the other was told not run key-reused
    And everything that must hold holds

  Scenario: A holder is paused beyond its caller's timeout and resumes
    Given the entry is paused for 20 seconds when the claim is made
    When a van is called with a key
    Then the van ran at most 1 time
    And everything that must hold holds
