Feature: A response reaches its caller complete, or visibly cut off, whenever a write is interrupted

  Scenario: A stream that is detached from its upstream as an event arrives reaches its caller complete
    When a stream is detached from its upstream in the scheduler tick in which it receives
      | what           |
      | the 1st event  |
      | the 2nd event  |
      | the last event |
      | its end        |
    Then each time the caller got every event once
    And each time the log records the interruption and that no write was torn

  Scenario: Nothing follows a response whose write was cancelled
    Given a caller whose connection accepts half of a write and then blocks
    When a handler continues after a write was cancelled, with another request pipelined, in
      | part            |
      | the head        |
      | an event        |
      | the end         |
      | a whole answer  |
    Then each time the caller reads the beginning of one response, and then the connection's end

  Scenario: A handler that is cancelled before a byte was sent can still send a complete response
    When a handler responds with 504 after it was cancelled before it wrote
      | part            |
      | the head        |
      | a whole answer  |
    Then each time the caller reads 504 for both its requests

  Scenario: A caller that blocks a write loses nothing when its stream is detached from its upstream
    Given two chains of runners
    When a stream is detached from its upstream while its caller reads half of an event and then pauses
    Then the caller got every event once

  Scenario: An HTTP/1.0 caller, whose response has no length, is reset if its response is cut off
    When a handler returns over TCP
      | version | how             | end     |
      | 1.0     | in the middle   | reset   |
      | 1.1     | in the middle   | closed  |
      | 1.0     | when it is done | closed  |
    Then each time the caller's connection ended as expected
