Feature: The real processes under faults of their connections, drawn from a seed

  # Guards against refusing callers at entries that reach no runner while others do.
  Scenario: Callers of entries that are partitioned from runners are served
    When the soak runs seed 3 for 12 seconds with partitions from runners as the only faults
    Then it reports no violation
    And it checked calls at partitioned entries

  # Guards against an entry that takes more requests than its processor time allows.
  Scenario: Callers of an entry that gets most new connections are served
    When the soak runs seed 9101 for 12 seconds with waves of new connections to one of 10 entries as the only faults
    Then it reports no violation
    And it checked calls in waves

  # Guards against whole answers of full runners that are not delivered, health queries that take
  # their slots, and halves that are delivered as whole after a restart during a pause.
  Scenario: Callers of full runners get whole answers without a length, and no half as a whole
    When the soak runs seed 1 for 6 seconds with answers without a length as the only faults
    Then it reports no violation
    And it checked plain calls that ran undisturbed

  # Guards against changes that the other entries of a failure domain learn late, when two of it freeze,
  # are cut off from the store, are killed or turn slow at once, and requests to runners that have left.
  Scenario: Entries know each change in time beside pairs of entries in trouble
    When the soak runs seed 1 for 18 seconds with pairs of entries in trouble as the only faults
    Then it reports no violation
    And it checked pairs of entries in trouble
    And it checked leaves beside pairs in trouble

  # Guards against requests to a runner that has left, while connections to the store are silent.
  Scenario: Runners that leave while connections are silent get no requests after the contact time
    When the soak runs seed 1 for 10 seconds with connections that go silent as the only faults
    Then it reports no violation
    And it checked leaves beside silent connections
