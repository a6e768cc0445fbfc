Feature: A request that waits beside a change of the configuration gets an answer or a refusal

  # Guards against a request whose route, service, key or timeout changes while it waits, and that ends
  # with neither an answer nor a refusal, or without either in time.
  Scenario Outline: A request waits for <place>: <routes>
    Given a <site> at which requests wait for <place>
    When each change of the configuration is applied while requests of <routes> wait
    Then each of them got a whole answer or a refusal in time
    And no request that must not be repeated was executed twice

    Examples: At one process
      | site    | place                      | routes          |
      | process | the answer of an upstream  | again, once     |
      | process | the first event            | stream, fragile |
      | process | the next event             | stream, fragile |
      | process | a place in the queue       | stream, fragile |
      | process | a retry                    | stream          |
      | process | a rate token               | again, once     |
      | process | a rate token               | stream          |
      | process | the trial of a suspect     | again, once     |
      | process | the trial of a suspect     | stream          |

    Examples: At a process that reaches no upstream
      | site                | place                            | routes          |
      | partitioned process | the answer of a peer             | again, once     |
      | partitioned process | the answer of a peer             | stream          |
      | partitioned process | the next event of a peer         | stream          |
      | partitioned process | peers that know an older version | again, once     |
      | partitioned process | peers that know an older version | stream          |
