Feature: A stream is taken from its upstream at any moment, once, and only while it is there

  Scenario: A stream that is taken from its upstream before its answer begins reaches its caller whole
    When a stream is taken from its first upstream
      | when                               |
      | while the connection is opened     |
      | before anything came               |
      | in the tick in which the head came |
      | while the rest of a refusal is due |
    Then each time the stream was taken and its caller got every event once

  Scenario: A process that stood still takes no answer that waits in its socket for silence
    When a process stands still for 0.2 seconds while it asks an upstream for
      | what          |
      | its stalls    |
      | its load      |
      | its orders    |
      | its pulse     |
    Then each time it has the answer

  Scenario: A stream that was taken away is not moved while its caller holds a write up
    Given two chains of runners
    When a stream is taken away while its caller holds a write up, and its second upstream is lost
    Then no upstream got another path for it

  Scenario: A stream that has ended costs no retry
    When an interruption meets the end of a stream
      | when                            |
      | in the tick in which it is read |
      | after it was passed on          |
    Then each time the caller got every event once and no retry was spent
