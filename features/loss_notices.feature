Feature: Processes tell each other which upstreams are gone

  # Guards against an idle connection that its upstream closes being taken for the upstream's end,
  # and against connections and datagrams where the settings don't ask for them.
  Scenario Outline: The connection watch tells an idle close from an end: <settings>
    Given 9 complete processes with <settings>
    When an upstream closes its idle connections, <then> and no caller asks
    Then <share> processes avoid what was lost
    And connections are watched: <watched>

    Examples:
      | settings                         | then                        | share | watched |
      | shared_losses, watch_connections | accepts new ones            | no    | yes     |
      | shared_losses, watch_connections | refuses new ones            | all   | yes     |
      | shared_losses, watch_connections | the first follower is killed 6 seconds before, refuses new ones | all | yes |
      | shared_losses                    | refuses new ones            | no    | no      |
      | watch_connections                | refuses new ones            | no    | no      |

  Scenario: A settings reload ends the watch and the avoidance, and begins them again
    Given 9 complete processes with shared_losses, watch_connections
    When the settings are switched off and on again around the end of an upstream
    Then it was avoided only while they were on

  # Guards against traffic and probes that grow with the number of processes that see one loss.
  Scenario Outline: A storm of reports is bounded: <count> processes, <who> report <lost> <result>
    Given <count> processes that share notices
    When <who> of them report <lost> <result> upstreams within <ms> ms
    Then after a loss at most 24000 bytes are sent by a process in a second
    And after a loss at most <probes> probes reach an upstream meanwhile
    And <share> processes avoid what was lost

    Examples:
      | count | who | lost | result | ms  | probes | share |
      | 7     | all | 4    | dead   | 50  | 6      | all   |
      | 130   | all | 4    | dead   | 50  | 6      | all   |
      | 130   | all | 4    | silent | 50  | 12     | all   |
      | 130   | all | 4    | alive  | 50  | 12     | no    |
      | 390   | all | 4    | dead   | 50  | 6      | all   |
      | 390   | one | 12   | dead   | 600 | 6      | some  |

  # Guards against one process's view deciding for all: a cut-off process, a wrong report, a lost or
  # malformed datagram, a verifier that dies.
  Scenario Outline: A report that may be wrong: <what>
    Given 30 processes that share notices
    When it happens that <what>
    Then it is avoided by <8ms> processes after 8 ms, <100ms> after 100 and <500ms> after 500
    And it counts as held and usable everywhere, and <malformed> malformed datagrams are counted

    Examples:
      | what                                                    | 8ms  | 100ms | 500ms | malformed |
      | one process reports that a live upstream refused        | most | no    | no    | 0         |
      | one process reports that a live upstream is silent      | no   | no    | no    | 0         |
      | one process reports that a silent upstream is silent    | no   | all   | all   | 0         |
      | a cut-off process reports that a whole domain is silent | no   | no    | no    | 0         |
      | a cut-off process reports that a whole domain refused   | no   | no    | no    | 0         |
      | a silent upstream is reported, and the verifier killed  | all  | all   | all   | 0         |
      | a dead upstream is reported, a third of datagrams lost  | some | most  | most  | 0         |
      | malformed datagrams arrive                              | no   | no    | no    | 4         |

  # Guards against a process without descriptors, which can connect to nobody, reporting all as gone.
  Scenario: Only what an upstream's machine does is evidence of its loss
    Then a failure to connect is evidence of unreachable if its cause is a refused connection
    And a failure to connect is evidence of silent if its cause is a timeout
    And a failure to connect is evidence of nothing if its cause is a lack of descriptors

  # Guards against every process finding a loss by itself, by a refused attempt that costs a retry,
  # and against streams that wait for a stall or are moved to another host of the same notice.
  Scenario Outline: A loss of four hosts costs a handful of refused attempts: <count>, <settings>
    Given <count> complete processes with <settings>
    When four hosts of a failure domain end, under 110 requests a second
    Then after a loss at most <most> attempts are refused for it
    And all processes avoid what was lost
    And after a loss at most <pause> ms pass between two events

    Examples:
      | count | settings                         | most | pause |
      | 81    | shared_losses                    | 6    | 2600  |
      | 130   | shared_losses                    | 6    | 2600  |
      | 81    | shared_losses, watch_connections | 3    | 60    |
