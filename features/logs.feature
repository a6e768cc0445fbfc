Feature: Logs and counters record events and contain no secrets

  Scenario: The upstream call carries the action id of the caller's request
    When a request with a prompt is served by a small site
    Then the id of its log action is the one that was sent to the upstream
    And no log line contains the prompt or the key

  Scenario: Counters are sent to statsd
    Then a refusal is sent as one packet to the statsd daemon

  Scenario: An operator with a wrong token is refused
    When a request with a prompt is served by a small site
    Then its operator was refused with a wrong token
