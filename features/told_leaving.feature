Feature: An upstream that says that it leaves gets no new request, whatever its row says

  # An upstream on its way to its end says so in all its answers, and may do so before its row does, or
  # while the store is away. Nothing read that: requests went to it until its row said the same, and
  # where it never did, until it was gone. The log of one process holds, 60 times in three seconds, once
  # for each stream that it sent there:
  #   upstream-leaving instance=x1

  Scenario Outline: The word counts in whatever answer it comes: <answer>
    Given upstreams of which the first one announces its shutdown in the response to <answer>
    When a caller asks for <route> every 0.05 seconds for 3 seconds
    Then the first one got no request after its announcement
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
    Given upstreams of which the first one announces its shutdown in the response to <answer>
    When the first one has announced it, and <what>
    And a caller asks for <route> every 0.05 seconds for 3 seconds
    Then the first one got no request after its announcement

    Examples:
      | what                                | answer   | route  |
      | the store is away                   | a stream | stream |
      | its row is written anew             | a stream | stream |
      | its row goes and comes back         | a stream | stream |
      | all rows are read anew              | a stream | stream |
      | it was suspected and answers again  | a stream | stream |
      | its row is written anew             | a call   | once   |

  Scenario: A newer start of the same upstream gets requests again
    Given upstreams of which the first one announces its shutdown in the response to a call
    When the first one has announced it, and it starts again under its id and says nothing
    And a caller asks for once every 0.05 seconds for 1 seconds
    Then the first one got requests as a new incarnation

  Scenario: Another runner at its address doesn't speak for it
    Given upstreams of which another, leaving one responds at the address of the first one
    When a caller asks for once every 0.05 seconds for 1 seconds
    Then the first one is not recorded as leaving

  Scenario: Where all leave, callers are refused at once
    Given upstreams that all announce their shutdown
    When a caller asks for once every 0.05 seconds for 1 seconds
    Then no upstream got a request after its announcement
    And every later caller was refused within 0.01 seconds

  Scenario: Its layers are held elsewhere as soon as it says so
    Given upstreams of which the first one announces its shutdown in the response to a stream
    When the first one has announced it while its row doesn't show it
    Then another upstream is ordered to hold its layers within 2 seconds

  Scenario: A stream under way at an upstream that leaves stays there
    Given upstreams of which the first one announces its shutdown in the response to a stream
    When a caller asks for one stream
    Then the caller got every event once
    And one upstream ran the stream
