Feature: A stream is detached from its upstream at any moment, once, and only while the upstream holds it

  Scenario: A stream that is detached from its upstream before its response begins reaches its caller complete
    When a stream is detached from its first upstream
      | when                               |
      | while the connection is opened     |
      | before anything came               |
      | in the tick in which the head came |
      | while the rest of a refusal is due |
    Then each time the stream was detached and its caller got every event once

  Scenario: A process that was paused doesn't take an answer that waits in its socket for a timeout
    When a process is paused for 0.2 seconds while it queries an upstream for
      | what          |
      | its stalls    |
      | its load      |
      | its orders    |
      | its pulse     |
    Then each time it gets the answer

  Scenario: A detached stream is not moved while a write to its caller is blocked
    Given two chains of runners
    When a stream is detached while a write to its caller is blocked, and its second upstream is lost
    Then no upstream was sent another path for it

  Scenario: A stream that has ended spends no retry
    When an interruption coincides with the end of a stream
      | when                            |
      | in the tick in which it is read |
      | after it was passed on          |
    Then each time the caller got every event once and no retry was spent
