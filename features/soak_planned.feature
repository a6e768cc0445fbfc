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

  # Guards against an entry that follows an old desired state for too long, takes one back, serves
  # added routes worse or accepts unknown keys. In the other kinds of faults callers use none of what
  # comes and goes.
  Scenario: Changes in storms reach the callers that they concern
    When the soak runs seed 1 for 7 seconds with changes under their callers as the only faults
    Then it reports no violation
    And it checked requests on added routes
    And it checked requests after a newer state was seen
    And it checked requests with unknown keys
    And it checked calls far from changes

  # Guards against a connection that is used again although its upstream, which has answered, still
  # waits for the rest of a long body.
  Scenario: Upstreams that answer before they have read a long body get nothing else in its place
    When the soak runs seed 1 for 4 seconds with long bodies answered early as the only faults
    Then it reports no violation
    And it checked answers before the body was read
    And it checked bodies that were given up
