Feature: The real processes under planned work in series, answers without an end and callers that leave

  # Guards against an entry that spends its processor time on the answers of one upstream.
  Scenario: Callers of sound upstreams are served beside answers without an end
    When the soak runs seed 3 for 5 seconds with answers without an end as the only faults
    Then it reports no violation
    And it checked calls whose answers had no end

  # Guards against requests that end without an answer when processes stop, reload or change their
  # configuration, and against taking silent upstreams for lost ones meanwhile.
  Scenario: Stops, reloads and changes that overlap lose no request beside silent upstreams
    When the soak runs seed 22 for 5 seconds with planned work as the only faults
    Then it reports no violation
    And it checked calls around planned work

  # Guards against runners that work on for callers who have left. In the other kinds of faults few
  # requests take so long that it shows.
  Scenario: Requests of callers that leave are given up at their runners
    When the soak runs seed 1 for 4 seconds with callers that leave as the only faults
    Then it reports no violation
    And it checked long runs of callers that had left

  # Guards against requests lost by stops where streams outlast silences and plain calls have one
  # short attempt.
  Scenario: Planned work loses no request of short routes and long streams beside silent upstreams
    When the soak runs seed 6 for 7 seconds with planned work and silent upstreams beside short routes as the only faults
    Then it reports no violation
    And it checked calls around planned work
    And it checked silences of sound upstreams
