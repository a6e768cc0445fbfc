@planned-stop
Feature: A planned stop cuts off no request in flight

  Scenario Outline: <stop> while streams run
    When 6 callers ask for 40 tokens at once
    And <stop> comes after 0.5 seconds
    Then every caller has the whole answer
    And every caller was served in 1 attempt
    And <after>
    And everything that must hold holds

    Examples:
      | stop                     | after                                  |
      | retire of a busy runner  | the retired runner is unloaded at last |
      | stop of the model        | nothing is loaded at last              |

  Scenario: What was retired is replaced before it goes
    When an operator retires a runner
    Then the plan's lowest capacity is that before it
    And everything that must hold holds
