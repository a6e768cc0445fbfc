Feature: An upstream that announces its shutdown gets no new requests, whatever its row says

  # An upstream that is shutting down announces it in all its responses, perhaps before its row shows it
  # or during a store outage. The header was ignored: requests went to the upstream until its row showed
  # the shutdown, or until it was gone. One process logged this 60 times in three seconds, once for each
  # stream that it sent there:
  #   upstream-leaving instance=x1

  Scenario Outline: The announcement counts in any response: <answer>
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

  Scenario Outline: The announcement holds though <what>
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

  Scenario: A newer incarnation of the same upstream gets requests again
    Given upstreams of which the first one announces its shutdown in the response to a call
    When the first one has announced it, and it starts again under its id and says nothing
    And a caller asks for once every 0.05 seconds for 1 seconds
    Then the first one got requests as a new incarnation

  Scenario: A response of another runner at its address is ignored
    Given upstreams of which another, leaving one responds at the address of the first one
    When a caller asks for once every 0.05 seconds for 1 seconds
    Then the first one is not recorded as leaving

  Scenario: If all are leaving, callers are refused at once
    Given upstreams that all announce their shutdown
    When a caller asks for once every 0.05 seconds for 1 seconds
    Then no upstream got a request after its announcement
    And every later caller was refused within 0.01 seconds

  Scenario: Its layers are loaded elsewhere as soon as it announces its shutdown
    Given upstreams of which the first one announces its shutdown in the response to a stream
    When the first one has announced it while its row doesn't show it
    Then another upstream is ordered to hold its layers within 2 seconds

  Scenario: A running stream stays at an upstream that is leaving
    Given upstreams of which the first one announces its shutdown in the response to a stream
    When a caller asks for one stream
    Then the caller got every event once
    And one upstream ran the stream
