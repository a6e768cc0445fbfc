Feature: Connections to upstreams and to other processes that go silent for good

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

  # Guards against a request that waits for its deadline on a connection to a peer that lives.
  Scenario: A request is handed over although the kept connection to the peer has gone silent
    Given three processes, one of them partitioned from all upstreams
    When it has handed a request over, and its connections to the others go silent for good
    Then 1.5 seconds later it hands a request over, and that is served at once
