@whole-answer @layers-once
Feature: Every caller gets the complete response to its own request, with each layer run once per token

  Scenario: A streamed response through three stages
    When fitter asks for 12 tokens
    Then fitter has the whole answer
    And fitter was served in 1 attempt
    And everything that must hold holds

  Scenario: Many concurrent callers each get their own response
    When 20 callers ask for 8 tokens at once
    Then every caller has the whole answer
    And everything that must hold holds

  Scenario Outline: The link between two stages is <fault>
    Given the links between the middle and the last stages are <fault> once 3 tokens came to fitter
    When fitter asks for 14 tokens
    Then fitter has the whole answer
    And the pause of fitter was at most 1.5 seconds
    And everything that must hold holds

    Examples:
      | fault |
      | cut   |
      | slow  |

  Scenario: A token that did not pass every stage is not accepted
    Given a head engine leaves a stage out of the trace
    When fitter asks for 12 tokens
    Then fitter has the whole answer
    And fitter was served in 2 attempt
    And everything that must hold holds

  Scenario Outline: An engine that <does> is abandoned at once
    Given a head engine <does>
    When fitter asks for 12 tokens
    Then fitter has the whole answer
    And everything that must hold holds

    Examples:
      | does                                |
      | doubles every frame                 |
      | sends frames out of order           |
      | sends frames of an older attempt    |
      | ends the stream without a finish    |
      | says that it finished too early     |
