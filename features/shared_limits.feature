Feature: Limits shared by processes that don't communicate about them

  Scenario Outline: A process's share of all traffic: <case>
    Given measurements of <own> own requests among <all>
    Then the process estimates its share at <least> to <most>

    Examples:
      | case                   | own                 | all                 | least | most |
      | nothing measured       | none                | none                | 0.05  | 0.05 |
      | the first counts whole | 5                   | 45                  | 0.1   | 0.1  |
      | few tell little        | 4                   | 4                   | 0.3   | 0.33 |
      | one quiet moment       | 10 0                | 60 60               | 0.13  | 0.15 |
      | none of its own        | 0                   | 60                  | 0.005 | 0.01 |
      | half of the rest left  | 5 10 10 10 10 10 10 | 50 50 50 50 50 50 50 | 0.12  | 0.15 |
      | more than what is told | 90                  | 60                  | 0.9   | 1    |

  Scenario: No share is derived from upstreams that have not answered yet
    Given a process that queries upstreams which answer after 0.1 seconds
    Then its share of the traffic is unknown after 0.05 seconds and known after 0.6 seconds

  Scenario Outline: All retries together stay within the limit: <processes> processes, <traffic>
    Given <processes> processes that share 100 requests a second <traffic>
    When every attempt fails for 40 seconds
    Then no 10 seconds have more retries than 0.2 of the requests and 200
    And no process waits longer than <longest> seconds for a retry

    Examples:
      | processes | traffic  | longest |
      | 1         | evenly   | 1       |
      | 6         | evenly   | 2       |
      | 6         | unevenly | 6       |
      | 60        | evenly   | 8       |

  # Counting in half of the window once dropped what the whole one still had to count.
  Scenario Outline: Retries that requests earned can be made for a whole window: <case>
    Given an allowance of which requests have earned 20 retries
    When <spent> retries are spent, and <seconds> seconds later <count> requests come
    Then <retries> retries can be made at once

    Examples:
      | case                     | spent | seconds | count | retries |
      | unspent                  | 0     | 6       | 1     | 20      |
      | unspent, more requests   | 0     | 6       | 23    | 24      |
      | half spent               | 10    | 6       | 23    | 14      |
      | all spent                | 20    | 6       | 23    | 4       |
      | forgotten after a window | 0     | 11      | 1     | 0       |

  Scenario Outline: Events in the last seconds: <case>
    Given events at <times>
    Then in the <seconds> seconds before <now> there were at least <least> and at most <most>

    Examples:
      | case              | times           | seconds | now  | least | most |
      | none              | none            | 10      | 5    | 0     | 0    |
      | all               | 1 2 3           | 10      | 5    | 3     | 3    |
      | some              | 1 2 3           | 2.5     | 5    | 1     | 1    |
      | one at the border | 2.55 3          | 2.5     | 5.1  | 1     | 2    |
      | a shorter window  | 1 4             | 5       | 5.5  | 2     | 2    |

  Scenario Outline: Retries that are reserved for requests that need them more are not spent by others
    Given an allowance of which requests have earned 20 retries
    Then with a share of <kept> reserved others get <others> and those that need them get <rest>

    Examples:
      | kept | others | rest |
      | 0.3  | 14     | 6    |
      | 0.5  | 10     | 10   |
      | 0    | 20     | 0    |

  Scenario Outline: A granted retry that is not used within half a second is lost: <case>
    Given an allowance to which an issuer grants 5 retries at once
    When one of them is spent and <seconds> seconds pass
    Then <retries> retries can be made at once

    Examples:
      | case  | seconds | retries |
      | early | 0.4     | 4       |
      | late  | 0.6     | 0       |

  Scenario: A third of the shared retries is kept for interrupted streams
    Given an issuer that may issue 20 retries at once
    Then others get all but a third, and urgent retries get the rest

  Scenario: Names of services from other processes take a bounded amount of memory
    Given an issuer that may issue 20 retries at once
    Then it issues retries at no more than 1024 services

  Scenario Outline: Refused callers return in turn: <case>
    Given a process that answers <rate> requests a second
    When <count> requests are refused at once, with a retry-after of at least <least> seconds
    Then the first may retry after <least> seconds and the last between <early> and <late> seconds
    And no second has more than <most> of these retries

    Examples:
      | case                  | rate | count | least | early | late | most |
      | one                   | 10   | 1     | 1.0   | 1.0   | 1.0  | 1    |
      | a few                 | 10   | 6     | 1.0   | 2.0   | 4.0  | 4    |
      | nothing answered      | 0    | 6     | 1.0   | 3.4   | 3.6  | 2    |
      | more than there is time for | 10 | 60  | 1.0   | 1.0   | 6.0  | 16   |
      | a busy process        | 100  | 60    | 0.25  | 1.5   | 3.5  | 40   |
