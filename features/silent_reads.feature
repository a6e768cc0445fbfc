Feature: Reads of the store whose connections go silent for good

  # Guards against requests to an upstream that has left, while the connection on which the list of
  # upstreams is followed is silent and new ones work.
  Scenario: A process whose read of the list stays unanswered learns soon that an upstream has left
    When the read of the list goes silent for good, and a plain upstream leaves 0.2 seconds later
    Then 3 seconds after the silence began, no request reaches that upstream

  # Guards against a process that reports itself as not ready for seconds after all its open
  # connections to the store went silent, though new ones work.
  Scenario: A process whose open connections to the store are all silent is ready again within the contact time
    Given a process alone, with a revocation time of 5 seconds
    When all reads of one go silent for good
    Then 3 seconds after the silence began, it is ready and serves its callers
