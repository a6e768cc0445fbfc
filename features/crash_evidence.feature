Feature: Only requests that an upstream was executing when it crashed become suspect

  # Guards against quarantining requests that were sent to an upstream after it had ended.
  Scenario Outline: Attempts at an upstream that answers no probe until its row is removed: <case>
    Given attempts <runs> at an upstream, each from its start to its break in seconds
    And the upstream answered other requests at <answers> seconds
    When the row of the upstream is removed after 3 seconds
    Then the crash is attributed to <ended>

    Examples:
      | case                               | runs                          | answers | ended |
      | all were running at the same time  | a 1.0-1.2, b 1.1-1.25         | none    | a, b  |
      | one was sent after the first break | a 1.0-1.2, c 1.5-1.6          | none    | a     |
      | it answered after the first break  | a 1.0-1.2, c 1.5-1.6          | 1.4     | c     |
      | it answered before the first break | a 1.0-1.2, c 1.5-1.6          | 0.5     | a     |
      | several sent after the first break | a 1.0-1.2, c 1.5-1.6, d 2-2.1 | none    | a     |
