Feature: Any kinds of trouble of the soak can be played together

  # Guards against a kind that doesn't know what another one brings: a service without a limit, a
  # process that both restart, a pause that the other one ends.
  Scenario: Every pair of kinds plays on a site without processes, and leaves it as it was
    When each pair of kinds is played for 8 seconds on a site without processes
    Then every pair was played to its end and judged
    And no process was started while it ran, and none was left ended or paused

  # Guards against a site that lacks what one of the kinds needs.
  Scenario: A site is built as each of its kinds needs it
    Then the site of each pair of kinds has what both of them need

  # Guards against callers of waves that leave before a stream of the site can end: with streams of
  # 2.4 s nearly none was served, in a wave or before it.
  Scenario: Callers of waves wait longer than a stream of any profile takes
    Then in each profile a caller of waves waits 1.9 s longer than a stream takes

  # Guards against a play that ends in an error instead of telling what it needs.
  Scenario: Kinds that compare entries are rejected where there is only one
    When the command line of the soak is
      | arguments                                       | error                                                    |
      | --only partitions --entries 1 1                 | partitions: compares entries; take --entries 2 or more   |
      | --only planned --only wave --entries 1 1        | wave: compares entries; take --entries 2 or more         |
      | --only partitions --only kept-wave --entries 1 1 | partitions and kept-wave: compares entries               |
      | --only unknown 1                                | invalid choice: 'unknown'                                |
    Then each is rejected with its error

  # Guards against a drawn play that can't be played, or not again by the command that it names.
  Scenario: What a seed draws is a play of its own, which the printed command repeats
    When each of 200 seeds draws 2 and 3 kinds
    Then each play has so many kinds of different classes, and no conflict
    And the arguments of each play are read as the same play
    And all kinds, profiles and numbers of attempts and entries were drawn

  # Guards against a judge that reports what another kind has done, and against one that is off
  # beside a kind that is no fault.
  Scenario: The judge of ended streams plays beside planned work alone, and excuses the end of a stop
    Then beside these kinds a judge plays and excuses
      | judge          | kinds                            | excuses       |
      | silent-runners | silent-runners                   | nothing       |
      | silent-runners | silent-runners, planned          | last_of_grace |
      | silent-runners | silent-runners, changes          | nothing       |
      | silent-runners | silent-runners, changes, planned | last_of_grace |
      | silent-runners | silent-runners, runner           | not played    |
      | silent-runners | silent-runners, planned, odd     | not played    |
      | partitions     | partitions, entry                | nothing       |
      | wave           | wave, planned                    | nothing       |
      | unending       | unending, entry, odd             | nothing       |
