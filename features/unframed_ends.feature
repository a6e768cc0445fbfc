Feature: Answers of plain upstreams that have no length, under load and across restarts

  # Guards against whole answers that callers don't get: at an upstream that is full, a health query
  # waits like a request or is refused, and its answers counted as cut after 0.3 s.
  Scenario Outline: The whole answers of an upstream that is full are delivered: <what>
    Given a plain upstream with 4 slots whose answers have no length and take <work> seconds
    When <callers> callers each call it again and again, up to 100 calls, <health>
    Then each call that ran there is served
    And at most <queries> health queries were sent

    Examples:
      | what                           | callers | work | health                | queries |
      | queries wait for a slot        | 8       | 0.4  | with a health path    | 0       |
      | queries would time out         | 5       | 0.9  | with a health path    | 0       |
      | queries are refused            | 12      | 0.15 | with a health path    | 0       |
      | one call at a time             | 1       | 0.1  | with a health path    | 1       |
      | nothing may be asked           | 8       | 0.4  | without a health path | 0       |
      | nothing may be asked, one call | 1       | 0.1  | without a health path | 0       |

  # Guards against the same at an upstream that other processes have filled.
  Scenario: The whole answer of an upstream that others have filled is delivered
    Given a plain upstream with 4 slots whose answers have no length and take 0.5 seconds
    And other processes that keep all its slots and its queue taken for 0.8 seconds after a call
    When 1 caller calls it once
    Then each call that ran there is served

  # Guards against half an answer that counts as whole because the next process of the upstream, at
  # the same address, was there when this process went on after a pause.
  Scenario Outline: Half an answer is not delivered as whole after a restart: <what>
    Given a plain upstream with 4 slots that sends its answers without a length, in two halves
    When it restarts between the halves of an answer to <route> while this process is paused, <health>, beside <beside>
    Then no caller got half an answer as whole

    Examples:
      | what                              | route | health                | beside               |
      | asked by its health path          | once  | with a health path    | no other calls       |
      | asked by its health path          | again | with a health path    | no other calls       |
      | nothing may be asked              | once  | without a health path | no other calls       |
      | nothing may be asked              | again | without a health path | no other calls       |
      | other calls under way             | once  | with a health path    | other calls          |
      | other calls under way, none asked | once  | without a health path | other calls          |
      | a call that follows the pause     | once  | without a health path | a call after it      |
      | a connection that is silent       | once  | with a health path    | a silent connection  |
      | a connection kept from before     | once  | without a health path | a kept connection    |

  # Guards against half an answer that counts as whole because a connection was accepted in place of
  # the process that has ended: by a proxy or a listener that outlives it, or by the next process,
  # long after a pause of this one.
  Scenario Outline: Half an answer is not delivered as whole where connections are still accepted: <what>
    Given a plain upstream with 4 slots that sends its answers without a length, in two halves
    When it restarts between the halves of an answer to <route>, <health>, beside <beside>
    Then no caller got half an answer as whole

    Examples:
      | what                          | route | health                | beside            |
      | asked by its health path      | once  | with a health path    | no other calls    |
      | nothing may be asked          | once  | without a health path | no other calls    |
      | nothing may be asked          | again | without a health path | no other calls    |
      | other calls under way         | once  | without a health path | other calls       |
      | a call that follows           | once  | without a health path | a call after it   |
      | a connection kept from before | once  | without a health path | a kept connection |

  Scenario Outline: What another connection to the same address shows about the end of an answer
    Then another connection that <what> shows that the process goes on: <shows>

    Examples:
      | what                                    | shows |
      | was open with it and stays open         | yes   |
      | closes with it                          | no    |
      | closes 20 ms later                      | no    |
      | closes 0.2 s later                      | no    |
      | was opened after its close              | no    |
      | was closed before it was opened         | no    |
      | is one of two, and the other one closes | yes   |
      | closes 0.2 s after another one          | no    |
      | answers 0.1 s after another one closes  | yes   |
      | has answered just before                | no    |
      | has an answer unread, and then closes   | no    |
      | was quiet for long                      | no    |
      | this process has closed                 | no    |

  # Guards against connections that only plain upstreams without a health path need.
  Scenario: No connection is kept beside a stream for the check of its end
    Given 1 first upstreams and a route that allows 2
    When a stream is sent to its upstream, which answers queries
    Then no connection was opened beside that of the stream
