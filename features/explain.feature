Feature: From a request's id to its cause, by logs alone

  Scenario: Lines of several machines are put in order, with what else was decided there
    Given logs of two machines whose clocks differ by 2 seconds
    When the request r1 is explained
    Then its 3 decisions come in order and the outage before them is named
    And lines that are none, and other requests' lines, are left out

  Scenario: What the logs lack is said
    Given logs of two machines whose clocks differ by 2 seconds
    When the request r9 is explained
    Then it says that no line names the request

  Scenario Outline: A failed request's cause is found by its id: <what>
    Given two chains of runners
    When a caller's request fails since <what>
    Then the explanation of it names <cause>

    Examples:
      | what                          | cause             |
      | every upstream is gone        | no usable         |
      | its key was taken away        | unauthorized      |
      | the store is away             | store-lost        |
      | its stream broke              | broke             |
