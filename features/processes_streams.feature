@processes
Feature: Real processes, real sockets, real signals: streams

  Scenario: The public client lists models, completes and streams
    Given a site of real processes
    Then the public client lists the model
    And the public client gets 20 tokens whole
    And the public client gets 20 streamed tokens whole

  @whole-answer @layers-once
  Scenario Outline: A stage receives <signal> in the middle of a stream: <stage>
    Given a site of real processes
    When a stream of 40 tokens runs at entry-1
    And the <stage> stage is sent <signal> after 10 tokens
    Then the stream ends whole
    And no engine ran a position twice

    Examples:
      | stage  | signal  |
      | middle | SIGKILL |
      | middle | SIGSTOP |
      | head   | SIGKILL |
      | last   | SIGSTOP |

  @whole-answer
  Scenario: An entry is killed in the middle of a stream
    Given a site of real processes
    When a stream of 40 tokens runs at entry-1
    And process entry-1 is sent SIGKILL after 10 tokens
    Then the stream breaks and does not end as if whole
    And entry-2 completes 10 tokens whole
