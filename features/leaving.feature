@leaving
Feature: An upstream that is leaving receives no new work after a few seconds

  Scenario Outline: The first sign is <sign>
    Given the list lags by <lag> seconds
    When callers keep asking for 30 seconds
    And <sign> comes for a busy runner
    Then requests that began 3 seconds after the sign did not touch it
    And every caller was served in 1 attempt
    And everything that must hold holds

    Examples:
      | sign                  | lag |
      | the upstream's word   | 60  |
      | the platform's list   | 0   |
      | an operator's retire  | 60  |

  Scenario: A late entry of the list does not bring it back, a new incarnation does
    When callers keep asking for 40 seconds
    And the platform's list comes for a busy runner
    And the platform lists it as live again 2 seconds later
    Then requests that began 3 seconds after the sign did not touch it
    And everything that must hold holds
