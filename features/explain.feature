Feature: The cause of a request's failure is found in the logs by the request's id

  Scenario: Lines of several machines are sorted, and related decisions of the same machines are added
    Given logs of two machines whose clocks differ by 2 seconds
    When the request r1 is explained
    Then its 3 decisions are returned in order, with the outage before them
    And malformed lines and other requests' lines are omitted

  Scenario: The explanation of a request without any line says so
    Given logs of two machines whose clocks differ by 2 seconds
    When the request r9 is explained
    Then it says that no line names the request

  Scenario Outline: The cause of a failed request is found by the request's id: <what>
    Given two chains of runners
    When a caller's request fails because <what>
    Then its explanation contains <cause>

    Examples:
      | what                          | cause             |
      | every upstream is gone        | no usable         |
      | its key was taken away        | unauthorized      |
      | the store is away             | store-lost        |
      | its stream broke              | broke             |
