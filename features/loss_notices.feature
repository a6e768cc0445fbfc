Feature: Processes tell each other which upstreams are gone

  # Guards against an idle connection that its upstream closes being taken for the upstream's end,
  # and against connections and datagrams where the settings don't ask for them.
  Scenario Outline: The connection watch tells an idle close from an end: <settings>
    Given 9 complete processes with <settings>
    When an upstream closes its idle connections, <then> and no caller asks
    Then <share> processes avoid it 0.05 seconds later
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
  Scenario Outline: All processes see a loss of four hosts within 50 ms: <count> processes, <result>
    Given <count> processes that share notices
    When all of them report 4 upstreams within 50 ms that are <result>
    Then no process sends more than 24000 bytes in a second
    And each upstream was probed at most <probes> times in the first 0.3 seconds
    And the upstreams are avoided by <share> processes after 0.3 seconds

    Examples:
      | count | result | probes | share |
      | 7     | dead   | 6      | all   |
      | 130   | dead   | 6      | all   |
      | 130   | silent | 12     | all   |
      | 130   | alive  | 12     | no    |
      | 390   | dead   | 6      | all   |

  Scenario: One process that finds loss after loss sends a bounded number of bytes
    Given 390 processes that share notices
    When one of them reports 12 dead upstreams within 0.6 seconds
    Then no process sends more than 24000 bytes in a second

  # Guards against one process's view deciding for all: a cut-off process, a wrong report, a lost or
  # malformed datagram, a verifier that dies.
  Scenario Outline: A report that may be wrong: <what>
    Given 30 processes that share notices
    When it happens that <what>
    Then it is avoided by <8ms> processes after 8 ms, <100ms> after 100 and <500ms> after 500
    And it still counts as held, and as usable, everywhere
    And malformed datagrams are counted: <malformed>

    Examples:
      | what                                                    | 8ms  | 100ms | 500ms | malformed |
      | one process reports that a live upstream refused        | most | no    | no    | no        |
      | one process reports that a live upstream is silent      | no   | no    | no    | no        |
      | one process reports that a silent upstream is silent    | no   | all   | all   | no        |
      | a cut-off process reports that a whole domain is silent | no   | no    | no    | no        |
      | a cut-off process reports that a whole domain refused   | no   | no    | no    | no        |
      | a silent upstream is reported, and the verifier killed  | all  | all   | all   | no        |
      | a dead upstream is reported, a third of datagrams lost  | some | most  | most  | no        |
      | malformed datagrams arrive                              | no   | no    | no    | yes       |

  # Guards against a process without descriptors, which can connect to nobody, reporting all as gone.
  Scenario: Only what an upstream's machine does is evidence of its loss
    Then a failure to connect is evidence of unreachable if the machine refuses
    And a failure to connect is evidence of silent if no answer comes in time
    And a failure to connect is evidence of nothing if this process has no descriptors left

  # Guards against every process finding a loss by itself: after one loss of four hosts, 186 attempts
  # were refused at 61 of 81 processes, and then callers for want of a retry.
  Scenario Outline: A loss of four hosts costs a handful of refused attempts: <count> processes
    Given <count> complete processes with shared_losses
    When four hosts of a failure domain end, under 110 requests a second
    Then at most 6 attempts are refused for it
    And every process avoids a lost host after 0.1 seconds

    Examples:
      | count |
      | 81    |
      | 130   |

  # Guards against running streams that wait until each of them counts as stalled, and against moving
  # them to another host that the same notice reports: they paused for 225 to 261 ms.
  Scenario: Streams move at once off hosts whose watched connections show their end
    Given 81 complete processes with shared_losses, watch_connections
    When four hosts of a failure domain end, under 110 requests a second
    Then at most 3 attempts are refused for it
    And no stream pauses for more than 60 ms
