@processes
Feature: What the pages tell to do works as written

  Scenario: The tutorial's commands run
    Then the blocks of docs/TUTORIAL.md run in an empty folder without an error

  Scenario: The trial shows a killed stage and a whole answer in under 30 seconds
    Then deckcourse try succeeds within 30 seconds and reports a complete answer

  Scenario Outline: The command line: <command>
    Then deckcourse <command> exits with <code> and says <words>

    Examples:
      | command                                   | code | words            |
      | --help                                    | 0    | intent           |
      | plan x --controller 127.0.0.1:9 --token-file /dev/null | 1 | can't be reached |
      | status --token-file /nowhere              | 1    | operators' token |
      | settings check /nowhere                   | 78   | No such file     |
      | settings check examples/deckcourse.ini    | 0    | right            |
      | intent serve model --token-file /dev/null | 1    | name=value       |
      | peers 127.0.0.1:9                         | 1    | want a peer_listen |
      | nonsense                                  | 2    | nonsense         |

  Scenario: Every refusal, unknown and retry reason is on the operators' page
    Then docs/OPERATIONS.md names every reason
