Feature: A desired state opens a route only to the keys of the client accounts that it names

  # Guards against routes that are open to every caller, or to the keys of an older desired state,
  # after a newer one has taken the client accounts or their keys away.
  Scenario Outline: A key opens nothing after a desired state <case>
    Given two chains of runners
    When a newer desired state has the client accounts <accounts>
    Then a caller with the key that it held before gets 401, and one with another key or none too

    Examples:
      | case                           | accounts                                                |
      | without any client account     | []                                                      |
      | whose client accounts are null | null                                                    |
      | whose client account is null   | [null]                                                  |
      | whose account has no keys      | [{"name": "acme"}]                                      |
      | whose account has empty keys   | [{"name": "acme", "apiKeys": []}]                       |
      | whose account's keys are null  | [{"name": "acme", "apiKeys": null}]                     |
      | with an empty key              | [{"name": "acme", "apiKeys": [""]}]                     |
      | with a key that is null        | [{"name": "acme", "apiKeys": [null]}]                   |
      | whose account has no name      | [{"apiKeys": ["a-key"]}]                                |
      | whose account's name is null   | [{"name": null, "apiKeys": ["a-key"]}]                  |
      | whose account's name is empty  | [{"name": "", "apiKeys": ["a-key"]}]                    |

  # Guards against naming one account to the runner for a caller of another one.
  Scenario: A key that two client accounts hold opens nothing, and their other keys still do
    Given two chains of runners
    When a newer desired state gives two client accounts the key of the first and one of their own
    Then a caller with the key that it held before gets 401, and one with its own key is served as its account

  # Guards against a route that an undefined value makes public.
  Scenario: A route whose publicness is null needs a key
    Given two chains of runners
    When a newer desired state has null for whether its routes are public
    Then a caller without a key gets 401, and one with its own key is served as its account

  Scenario: Without a word on client accounts, requests need no key
    Given two chains of runners
    When a newer desired state doesn't mention client accounts
    Then a caller without a key is served

  Scenario: A desired state that is deleted is told, and the last one stays in force
    Given two chains of runners
    When the desired state is deleted
    Then the log tells it, and a caller with the key that it held before is served
