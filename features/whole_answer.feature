@whole-answer
Feature: Every caller gets the whole answer to its own request

  Scenario: A streamed answer through three stages
    When fitter asks for 12 tokens
    Then fitter has the whole answer
    And everything that must hold holds
