@quota
Feature: The limit of a client account holds over all entries without a centre

  Scenario Outline: <demand> tokens a second asked <pattern>, 300 allowed, 9 entries
    When callers ask for <demand> tokens a second <pattern>
    Then from the 5th second after each change on, <least> to <most> of the limit is admitted

    Examples:
      | pattern                       | demand | least | most |
      | evenly                        | 900    | 0.85  | 1.05 |
      | at one entry                  | 900    | 0.85  | 1.05 |
      | at one entry, then at another | 900    | 0.85  | 1.05 |
      | evenly                        | 150    | 0.40  | 0.55 |
