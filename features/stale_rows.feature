Feature: Orders are checked against the layers that an upstream reports when its row is stale

  Scenario Outline: No order exceeds an upstream's memory while its row is stale: <case>
    Given an upstream whose row lists <row> and that holds <held> after <orders> orders
    And its last order was carried out <when>
    When a gap of the model is healed, and the row is updated after 14 seconds
    Then no order exceeded an upstream's memory
    And every layer of the model is held

    Examples:
      | case                        | row     | held | orders | when        |
      | an order of another process | nothing | 0-55 | 1      | long ago    |
      | a different range           | 40-60   | 0-35 | 2      | long ago    |
      | a load that just ended      | nothing | 0-55 | 1      | a moment ago |

  Scenario Outline: An ordered range counts as held while the row stays empty: <case>
    Given an empty upstream whose row stays empty after orders, and that is <case>
    When another upstream becomes the fullest, and the row is updated after 14 seconds
    Then no order exceeded an upstream's memory
    And every layer of the model is held

    Examples:
      | case         |
      | not limited  |
      | rate limited |

  # Guards against repeated orders to an upstream that accepts but never carries them out.
  Scenario: Orders to an upstream that accepts but does not carry them out are paused
    Given an empty upstream that drops accepted orders, and another that carries them out
    When a gap of the model is healed, and the row is updated after 14 seconds
    Then the upstream that drops orders accepted at most 5 orders
    And every layer of the model is held
