Feature: A stream at a silent upstream seeks another one again once its search has failed

  # Guards against a stream that stays at an upstream which went dark, although what made the search
  # for another one fail is over: it sought one only once.
  Scenario Outline: An upstream goes dark <moment>: <others>, until <seconds> seconds later
    Given <count> first upstreams and a route that allows <bound>
    When the upstream of a stream goes dark <moment>, with <retries> retries left: <others>, until <seconds> seconds later
    Then its caller got the whole stream, with no pause over <pause> seconds
    And its arrivals beyond the first are no more than the retries that were spent

    Examples: There is no path
      | others                     | moment                 | count | bound | retries | seconds | pause |
      | there are none             | after five events      | 1     | 2     | 3       | 1.0     | 1.3   |
      | there are none             | after five events      | 1     | 2     | 3       | 2.5     | 3.0   |
      | there are none             | before its first event | 1     | 2     | 3       | 2.5     | 3.0   |
      | the others answer no query | after five events      | 2     | 2     | 3       | 2.5     | 3.0   |

    Examples: All others refuse it
      | others               | moment                 | count | bound | retries | seconds | pause |
      | the others refuse it | after five events      | 3     | 2     | 12      | 2.5     | 3.0   |
      | the others refuse it | before its first event | 3     | 2     | 12      | 2.5     | 3.0   |

    Examples: The retry budget is spent
      | others                               | moment                 | count | bound | retries | seconds | pause |
      | one refuses it, and no retry is left | after five events      | 3     | 2     | 1       | 2.5     | 3.0   |
      | one refuses it, and no retry is left | before its first event | 3     | 2     | 1       | 2.5     | 3.0   |

    Examples: At the bound of upstreams, until the first one counts as cut off
      | others                             | moment                 | count | bound | retries | seconds | pause |
      | the next one resets its connection | after five events      | 3     | 2     | 3       | 0       | 4.2   |
      | the next one resets its connection | before its first event | 3     | 2     | 3       | 0       | 4.2   |
