Feature: The real processes under changes of what callers use, runners that answer early and drawn kinds

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

  # Guards against trouble where two kinds meet that nobody has joined by hand: here planned work and
  # runners that answer early, with short calls and single attempts.
  Scenario: Two kinds of trouble that a seed draws break no promise together
    When the soak runs seed 5 for 8 seconds with two drawn kinds as the only faults
    Then it reports no violation
    And it checked calls around planned work
    And it checked answers before the body was read
