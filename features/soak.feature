Feature: The real processes under faults from outside, by a seed

  Scenario: A short soak keeps every promise
    When the soak plays seed 7 with faults for 4 seconds
    Then it tells of no broken promise
