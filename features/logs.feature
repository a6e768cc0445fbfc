Feature: Logs and counters tell what happened, and nothing that is secret

  Scenario: One action id goes from the caller's request to the upstream call
    When a request with a prompt goes through a small site
    Then the id of its log action is the one that the upstream was given
    And neither the prompt nor the key is in any log line

  Scenario: Counters go to statsd
    Then a refusal is one packet at the statsd daemon

  Scenario: An operator with a wrong token is refused
    When a request with a prompt goes through a small site
    Then its operator was refused with a wrong token
