@orders
Feature: One controller orders at a time, and an upstream ends up with what is confirmed

  Scenario Outline: The holder is paused at its <step>, upstreams <check> fences
    Given the upstreams <check> fences
    And the holder of the lease is paused for 25 seconds at its next <step>
    When an operator retires a runner
    And 60 seconds pass
    Then every runner holds what is confirmed
    And the lease went to another controller
    And everything that must hold holds

    Examples:
      | step        | check    |
      | order       | check    |
      | order reply | check    |
      | lease renew | check    |
      | order       | check no |
      | order reply | check no |
      | lease renew | check no |

  Scenario Outline: The reply of an order is lost <times> times
    Given the upstreams <check> fences
    And the reply of the next order is lost <times> times
    When an operator retires a runner
    And 30 seconds pass
    Then every runner holds what is confirmed
    And everything that must hold holds

    Examples:
      | times | check    |
      | 1     | check    |
      | 2     | check    |
      | 1     | check no |

  Scenario: A holder that is cut off from the runners and their reporters drops none of them
    Given the reporters are paused and the holder of the lease is cut off from every runner
    When 15 seconds pass
    Then nothing was dropped
    And everything that must hold holds

  Scenario: Nobody reports for a while
    Given the reporters are paused
    When 15 seconds pass
    Then nothing was dropped
    And everything that must hold holds

  Scenario: A lost runner is replaced without asking, within what is confirmed
    When a runner of the middle stage dies
    And 20 seconds pass
    Then every stage has 2 replicas
    And every runner holds what is confirmed
    And everything that must hold holds
