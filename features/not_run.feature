@not-run
Feature: When a caller is told that a request was not run, it was not run

  Scenario Outline: <trouble> before anything ran
    Given <trouble>
    When fitter asks once for 6 tokens
    Then fitter was told <reason> within 1.5 seconds
    And everything that must hold holds

    Examples:
      | trouble                        | reason        |
      | every engine refuses as busy   | not run upstream-refused |
      | no last stage is usable        | not run no-route |
      | the account's limit is used up | not run account-limit |
      | the entry is stopping          | not run stopping |
      | the model is not served        | not run not-found |

  Scenario: After a token came the outcome is unknown, never not run
    Given every last stage dies once 3 tokens came to fitter
    When fitter asks once for 6 tokens with 4 seconds to go
    Then fitter was told unknown within 4.6 seconds
    And everything that must hold holds

  Scenario Outline: A call is refused where nothing was sent: <trouble>
    Given <trouble>
    When a van is called once <how>
    Then the call was told <outcome> within <seconds> seconds
    And everything that must hold holds

    Examples:
      | trouble                       | how           | outcome                        | seconds |
      | the van service refuses connections | with a key | not run upstream-unreachable | 0.5     |
      | the van service refuses connections | without a key | not run upstream-unreachable | 0.5  |
      | the platform is out           | with a key    | not run platform-unavailable   | 0.5     |
      | the van service loses a reply | with a key    | unknown upstream-lost          | 0.5     |
      | the van service loses a reply | without a key | unknown upstream-lost          | 0.5     |
