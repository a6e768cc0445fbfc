Feature: The retries of all processes together stay within the shared budget

  # Guards against processes that each guess their part of the budget: where little traffic was
  # measured, the parts added up to more than the whole.
  Scenario Outline: Every attempt fails from the first request on: <count> processes, <route>, <how>
    Given <count> gateway processes, and upstreams that fail every request as <how>
    When callers ask all processes for <route>, 60 a second for 6 seconds
    Then the retries that reached the upstreams are within the budget of all processes

    Examples:
      | count | route  | how   |
      | 7     | stream | full  |
      | 7     | again  | fails |
      | 60    | stream | full  |
      | 60    | again  | fails |
      | 60    | again  | reset |

  Scenario Outline: The shared retries go where they are needed: <count> processes
    Given <count> processes that share a slack of <slack> retries
    When one process needs <wanted> retries at once, with no traffic before, for <what>
    Then it gets at least <least> of them within 0.2 seconds

    Examples:
      | count | slack | wanted | what                | least |
      | 1     | 200   | 60     | interrupted streams | 60    |
      | 7     | 200   | 60     | interrupted streams | 60    |
      | 7     | 200   | 60     | refused requests    | 60    |
      | 60    | 304   | 100    | interrupted streams | 100   |
      | 390   | 600   | 100    | refused requests    | 100   |

  Scenario Outline: Shared retries are granted again soon after <what>: <count> processes
    Given <count> processes that share a slack of 304 retries
    When a process needs 20 retries <seconds> seconds after <what>
    Then it gets at least 20 of them within 0.2 seconds

    Examples:
      | what                            | count | seconds |
      | all are killed and start again  | 7     | 8       |
      | the issuer is killed            | 7     | 8       |
      | the issuer is killed            | 60    | 8       |
      | the issuer stops                | 7     | 2       |
      | a while without requests        | 60    | 6       |

  Scenario Outline: A process retries by what its own requests earned while <what>
    Given 7 processes that share a slack of 200 retries
    When every attempt fails, 50 requests a second, while <what>
    Then every process retries at least 0.1 of its requests meanwhile

    Examples:
      | what                                           |
      | the store is dark                              |
      | all are cut off from all                       |
      | the store is dark and all are cut off from all |
      | the issuer is killed                           |
