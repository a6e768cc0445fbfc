@config
Feature: A configuration, once accepted, is in force everywhere within seconds and never reverts

  Scenario Outline: Nine entries, the platform out <when> acceptance
    Given 9 entries
    And the platform goes out <when> acceptance of the change for 40 seconds
    When an operator changes the account
    Then it was accepted
    And it was in force on every entry within 5 seconds of the answer
    And everything that must hold holds

    Examples:
      | when            |
      | never at        |
      | right at        |

  Scenario: An entry that restarts in an outage takes what its peers have before it's ready
    Given 3 entries
    And the platform goes out right at acceptance of the change for 40 seconds
    When an operator changes the account
    And entry-2 restarts 3 seconds later
    Then entry-2 was never ready with an older version
    And entry-2 was ready before the platform came back
    And everything that must hold holds

  Scenario: An entry that starts alone in an outage isn't ready
    Given 1 entries
    When the platform goes out for 20 seconds
    And entry-1 and the controllers restart
    Then entry-1 was not ready while the platform was out
    And entry-1 was ready afterwards

  Scenario: Two operators confirm plans that exclude each other
    When two operators confirm conflicting plans at the same moment
    Then one is accepted and the other is told what changed and shown a new plan
    And no accepted plan took away what another had placed
    And everything that must hold holds

  Scenario: A confirmation repeated after its lost reply is answered as the first
    Given the reply to the confirmation is lost 2 times
    When an operator changes the account
    Then it was accepted
    And only one version was made for it
    And everything that must hold holds
