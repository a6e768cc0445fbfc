Feature: An answer reaches its caller whole, or visibly cut off, however its writing is disturbed

  Scenario: A stream that is taken from its upstream as an event comes reaches its caller whole
    When a stream is taken from its upstream in the tick in which it brings
      | what           |
      | the 1st event  |
      | the 2nd event  |
      | the last event |
      | its end        |
    Then each time the caller got every event once
    And each time the log tells of the interruption and that nothing was torn

  Scenario: Nothing follows an answer whose writing was cut short
    Given a caller whose connection takes half of a write and then nothing
    When a handler goes on after the writing was cut in, with another request behind
      | part            |
      | the head        |
      | an event        |
      | the end         |
      | a whole answer  |
    Then each time what the caller reads is the beginning of one answer, and the connection's end

  Scenario: A handler that is cut before a byte left still has its whole answer to give
    When a handler answers 504 after it was cut before it wrote
      | part            |
      | the head        |
      | a whole answer  |
    Then each time the caller reads 504 for both its requests

  Scenario: A caller that holds a write up loses nothing when its stream is taken from its upstream
    Given two chains of runners
    When a stream is taken from its upstream while its caller takes half of an event and then pauses
    Then the caller got every event once

  Scenario: A caller of HTTP/1.0, whose answer has no length, is reset where its answer is cut
    When a handler leaves off over TCP
      | version | how             | end     |
      | 1.0     | in the middle   | reset   |
      | 1.1     | in the middle   | closed  |
      | 1.0     | when it is done | closed  |
    Then each time the caller's connection ended so
