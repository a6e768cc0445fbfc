Feature: The real processes under planned work in series, and answers without an end

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
