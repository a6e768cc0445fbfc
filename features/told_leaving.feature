Feature: An upstream that says that it leaves gets no new request, whatever its row says

  # An upstream on its way to its end says so in all its answers, and may do so before its row does, or
  # while the store is away. Nothing read that: requests went to it until its row said the same, and
  # where it never did, until it was gone. The log of one process holds, 60 times in three seconds, once
  # for each stream that it sent there:
  #   upstream-leaving instance=x1

  Scenario Outline: The word counts in whatever answer it comes: <answer>
    Given upstreams of which the first one says that it leaves in the answer to <answer>
    When a caller asks for <route> each 0.05 seconds for 3 seconds
    Then the first one got no request after it had said so
    And every caller was served

    Examples:
      | answer                   | route  |
      | a stream                 | stream |
      | a call                   | once   |
      | a call that fails        | again  |
      | a request that it refuses | stream |
      | a request that it refuses | once   |
      | a question for its load  | stream |
      | an order                 | stream |

  Scenario Outline: The word holds though <what>
    Given upstreams of which the first one says that it leaves in the answer to <answer>
    When the first one has said so, and <what>
    And a caller asks for <route> each 0.05 seconds for 3 seconds
    Then the first one got no request after it had said so

    Examples:
      | what                                | answer   | route  |
      | the store is away                   | a stream | stream |
      | its row is written anew             | a stream | stream |
      | its row goes and comes back         | a stream | stream |
      | all rows are read anew              | a stream | stream |
      | it was suspected and answers again  | a stream | stream |
      | its row is written anew             | a call   | once   |

  Scenario: A newer start of the same upstream gets requests again
    Given upstreams of which the first one says that it leaves in the answer to a call
    When the first one has said so, and it starts again under its id and says nothing
    And a caller asks for once each 0.05 seconds for 1 seconds
    Then the first one got requests at its new start

  Scenario: Another runner at its address doesn't speak for it
    Given upstreams of which the first one answers that it is another one, which leaves
    When a caller asks for once each 0.05 seconds for 1 seconds
    Then the first one is not taken for leaving

  Scenario: Where all leave, callers are refused at once
    Given upstreams that all say that they leave
    When a caller asks for once each 0.05 seconds for 1 seconds
    Then no upstream got a request after it had said so
    And every later caller was refused within 0.01 seconds

  Scenario: Its layers are held elsewhere as soon as it says so
    Given upstreams of which the first one says that it leaves in the answer to a stream
    When the first one has said so while the store doesn't tell
    Then another upstream is ordered to hold its layers within 2 seconds

  Scenario: A stream under way at an upstream that leaves stays there
    Given upstreams of which the first one says that it leaves in the answer to a stream
    When a caller asks for one stream
    Then the caller got every event once
    And one upstream ran the stream
