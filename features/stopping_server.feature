@planned-stop
Feature: A process that stops answers what callers sent on fresh connections

  # Guards against a stop that closes fresh connections unread: their callers get neither an answer
  # nor a refusal.
  Scenario Outline: The first request on a connection is refused while the process stops: <what>
    Given a server whose requests are refused 0.3 s after its stop, and a request that runs for 0.8 s
    When a caller connects <connects> and sends a request <sends>
    Then it gets 503 with a Retry-After and a close
    And the server ends at most 0.15 s after the running request

    Examples:
      | what                                  | connects             | sends                |
      | connected before the stop             | before the stop      | after 0.5 s          |
      | connected while the process stops     | after 0.1 s          | after 0.5 s          |
      | connected once requests are refused   | after 0.5 s          | after 0.5 s          |
      | sent as the last request ends         | before the stop      | at the end           |
      | in the accept queue as the last ends  | at the end           | at the end           |

  # Guards against whole answers that are cut off since their callers read slowly.
  Scenario: An answer that is whole reaches a caller who reads it after the process has ended
    Given a server that has 1.2 s to stop
    When a caller has an answer of 300000 bytes and reads it once the server has ended
    Then it gets the whole answer

  Scenario Outline: Connections without a whole request end with the process: <what>
    Given a server whose requests are refused 0.3 s after its stop, and a request that runs for 0.8 s
    When a caller connects before the stop and sends <sent>
    Then it gets nothing
    And the server ends at most <seconds> s after the running request

    Examples:
      | what          | sent          | seconds |
      | no request    | nothing       | 0.15    |
      | half a head   | half a head   | 0.35    |
