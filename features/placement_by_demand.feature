Feature: Memory that requests don't need holds layers, so that a loss interrupts fewer streams

  # Guards against paths of up to 19 stages while memory lies idle: a lost host interrupts
  # every stream of its copy, four adjacent ones the streams of all copies. Memory is needed for a
  # burst, and for the demand after a loss of four hosts that are adjacent by name or by layers.
  Scenario Outline: A layout follows the demand: <mix>, <streams> streams
    Given the hosts of the mix <mix>, placed for <streams> streams
    Then every layer is held 3 times, instead of 2, on paths of <stages> stages, instead of <before>
    And a loss of 1 and of 4 hosts interrupts <one> and <four> of the streams, instead of <today>
    And <room> streams have room, and <healed> once a loss of any 4 adjacent hosts is healed

    Examples:
      | mix    | streams | stages | before | one  | four | today        | room | healed |
      | mixed  | 69      | 10.3   | 18.1   | 0.28 | 0.53 | 0.49 to 0.96 | 166  | 69     |
      | mixed  | 40      | 10.2   | 18.1   | 0.28 | 0.46 | 0.49 to 0.96 | 96   | 40     |
      | mixed  | 96      | 12.1   | 18.1   | 0.33 | 0.71 | 0.49 to 0.96 | 230  | 96     |
      | uneven | 69      | 9.3    | 15.1   | 0.27 | 0.49 | 0.43 to 0.69 | 166  | 69     |
      | uneven | 40      | 9.1    | 15.1   | 0.26 | 0.37 | 0.43 to 0.69 | 96   | 40     |

  # Guards against other layouts at sites without the weight or with little memory, and against
  # returned hosts that stay empty until all that held a range are back.
  Scenario Outline: Layouts stay as they were without a weight, and complete with one: <mix>
    Given the hosts of the mix <mix>, placed for 70 streams
    Then the layout is <layout> without a weight, without a known demand, and for 2000 streams
    And hosts of one copy that return empty hold layers at once, until all are held 3 times

    Examples:
      | mix    | layout           |
      | mixed  | 5e191688db42a866 |
      | uneven | 45a832b641d11627 |

  # Guards against layers exchanged for a swing of seconds, and against a demand of 0 without reports.
  Scenario: The demand follows the level of minutes
    Then 40 streams for a minute, and then others for some seconds, are a demand of
      | streams | seconds | least | most |
      | 96      | 4       | 40    | 40   |
      | 96      | 90      | 76    | 96   |
      | 0       | 20      | 40    | 40   |
      | 0       | 0       | 40    | 40   |

  Scenario: A process counts the streams of a domain once, and its healer plans for them
    Given a process that knows 90 placed upstreams of each of 3 domains and their loads
    Then of streams that begin at each first upstream it counts those of each domain
    And a process with empty runners logs the demand that its operators expect
