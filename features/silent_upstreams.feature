Feature: Connections to upstreams that go silent for good

  # Guards against losing one call for each idle connection that has gone silent, one after the other.
  Scenario: After a call on a silent connection the next one uses a new connection
    Given a plain upstream with 4 idle connections
    When these go silent for good, and a caller calls it 5 times, one after the other
    Then all calls but the first are served

  # Guards against closing connections of an upstream that answers others meanwhile.
  Scenario: A call that takes long closes no connection that was used meanwhile
    Given a plain upstream with 4 idle connections
    When one call takes longer than its caller waits, while others are answered
    Then all of the others use the same connection
