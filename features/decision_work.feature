Feature: The work of decisions at size

  Scenario Outline: Work grows with the hosts, not with their square: <decision>
    Given a domain of 900 hosts of three kinds, placed for a model of 80 layers
    When <decision>
    Then it takes at most <most> calls of functions

    Examples:
      | decision                                   | most    |
      | a first placement is searched for          | 1200000 |
      | the paths of the domain are worked out     | 360000  |
      | streams that begin and pass are told apart | 9000    |
