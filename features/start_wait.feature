Feature: Requests that arrive before a process knows its configuration

  Scenario Outline: A restarted process serves callers that come before its configuration: <case>
    Given two chains of runners and no configuration
    And the wait is <mode>, with room for <room> waiting requests
    When <callers> callers ask <after> seconds after a first one and the configuration comes <seconds> later
    Then <served> are served, and the others get 503 within <most> seconds

    Examples:
      | case                   | mode | room | callers | after | seconds | served | most |
      | it comes soon          | on   | 64   | 6       | 0     | 0.3     | 6      | 0    |
      | it comes too late      | on   | 64   | 6       | 0     | 2.0     | 0      | 0.55 |
      | more than may wait     | on   | 4    | 6       | 0     | 0.3     | 4      | 0.05 |
      | the wait is off        | off  | 64   | 6       | 0     | 0.3     | 0      | 0.05 |
      | no store for long      | on   | 64   | 6       | 2.5   | 0.3     | 0      | 0.05 |
