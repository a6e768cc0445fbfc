Feature: A part of a prompt that ends upstreams is quarantined, whatever requests it comes in

  # Guards against keeping evidence by whole requests only, which differ each time.

  Scenario Outline: However many different requests hold it, few reach upstreams: <route>, <circumstance>
    Given three gateway processes and upstreams that end under a part of a prompt
    When requests for <route> with such a part, no two alike, come among sound ones for 40 seconds, while <circumstance>
    Then at most 3 of them reach upstreams later than 3 seconds after the fifth end
    And its later callers are refused at once, with the reason
    And sound requests with the same first part are served meanwhile
    And no sound request is refused for ends of upstreams from then on

    Examples:
      | route   | circumstance                             |
      | stream  | all is well                              |
      | fragile | all is well                              |
      | stream  | processes don't reach each other         |
      | stream  | the store is dark at first               |
      | stream  | processes are killed one after the other |
      | stream  | two parts do so                          |

  Scenario: An operator lists a quarantined part and releases it
    Given three gateway processes and upstreams that end under a part of a prompt
    When a part is quarantined, its fault is fixed, and an operator releases it
    Then every process listed it as a part
    And requests with it are served at every process within 1 second after

  Scenario Outline: Whatever callers send as parts, their requests are served: <parts>
    Given three gateway processes and upstreams that end under a part of a prompt
    When a prompt has <parts>
    Then it is served as any other request
    And the evidence of one end stays small

    Examples:
      | parts                |
      | no parts             |
      | one part             |
      | 700 parts            |
      | a part of 9000 bytes |
      | the same part twice  |
      | bytes that aren't hex|
      | nothing but commas   |
      | two headers          |

  Scenario: The evidence on ever new parts is bounded
    Then evidence on 10000 parts, each with an end, takes no more than 4096 records

  Scenario Outline: The quarantine time of a part
    Then after <crashes> crashes in a row of <upstreams> upstreams within <span> seconds a part is refused for <seconds> seconds

    Examples:
      | crashes | upstreams | span | seconds |
      | 1       | 4         | 0.1  | 0       |
      | 2       | 2         | 9    | 0       |
      | 3       | 3         | 2    | 10      |
      | 4       | 4         | 20   | inf     |
      | 2       | 5         | 0.5  | 0       |
      | 2       | 5         | 2    | inf     |
