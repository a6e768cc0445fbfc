@processes
Feature: Real processes, real sockets, real signals: stops

  @planned-stop
  Scenario: An entry stops in order
    Given a site of real processes
    When a stream of 60 tokens runs at entry-1
    And process entry-1 is sent SIGTERM after 5 tokens
    Then entry-1 is not ready within 0.5 seconds
    And entry-1 still completes a request before the balancer's lag is over
    And the stream ends whole
    And entry-1 exits with 0

  @planned-stop
  Scenario: A second SIGTERM stops at once
    Given a site of real processes
    When a stream of 200 tokens runs at entry-1
    And process entry-1 is sent SIGTERM after 5 tokens
    Then entry-1 is not ready within 0.5 seconds
    When process entry-1 is sent SIGTERM
    Then entry-1 exits with 1

  @config
  Scenario: The controller that holds the lease is killed after a confirmation
    Given a site of real processes
    When an operator retires runner-6 at controller-1
    And process controller-1 is sent SIGKILL
    Then runner-6 is unloaded by controller-2

  Scenario: A malformed request gets a clear answer and disturbs nothing else
    Given a site of real processes
    Then entry-1 answers malformed requests
      | what            | answer                   | place         |
      | no JSON         | 400 not-run bad-request  | body          |
      | no model        | 400 not-run bad-request  | model         |
      | too many tokens | 400 not-run bad-request  | max_tokens    |
      | a wrong key     | 401 not-run unauthorized | Authorization |
      | a wrong place   | 404 not-run not-found    | /v1/nothing   |
      | a strange model | 404 not-run not-found    | nobody        |
      | a large body    | 413 not-run too-large    | body          |
      | large headers   | 413 not-run too-large    | headers       |
      | a bad timeout   | 400 not-run bad-request  | timeout       |
    And entry-1 completes 3 tokens whole
