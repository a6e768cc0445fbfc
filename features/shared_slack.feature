Feature: Any number of processes keep to the retry budget under every fault

  Scenario Outline: All processes together keep to the budget: <case>
    Given <count> processes that share a slack of <slack> retries
    When every attempt fails, <rate> requests a second, while <what>
    Then no window has more retries than the budget of all processes
    And retries were made

    Examples:
      | case                        | count | slack | rate | what                                           |
      | seven                       | 7     | 200   | 50   | nothing else happens                           |
      | sixty                       | 60    | 304   | 275  | nothing else happens                           |
      | many                        | 195   | 574   | 200  | nothing else happens                           |
      | very many                   | 390   | 600   | 200  | nothing else happens                           |
      | a small slack               | 195   | 20    | 200  | nothing else happens                           |
      | few requests                | 60    | 304   | 3    | nothing else happens                           |
      | unknown to each other       | 60    | 304   | 275  | they have just started                         |
      | unknown to each other, many | 390   | 600   | 200  | they have just started                         |
      | a jump                      | 7     | 200   | 20   | traffic jumps tenfold for 2 seconds            |
      | a jump of many              | 60    | 304   | 40   | traffic jumps tenfold for 2 seconds            |
      | two peaks                   | 60    | 304   | 40   | traffic jumps tenfold twice                    |
      | traffic ends                | 60    | 304   | 200  | traffic falls to a tenth                       |
      | restart                     | 7     | 200   | 50   | all are killed and start again                 |
      | restart of many             | 195   | 574   | 200  | all are killed and start again                 |
      | two restarts                | 60    | 304   | 200  | all are killed and start again twice           |
      | half restart                | 60    | 304   | 200  | half of them are killed and start again        |
      | the issuer                  | 7     | 200   | 50   | the issuer is killed and starts again          |
      | the issuer gone             | 60    | 304   | 200  | the issuer is killed                           |
      | the issuer stops            | 7     | 200   | 50   | the issuer stops                               |
      | joining                     | 60    | 304   | 200  | others join                                    |
      | leaving                     | 60    | 304   | 200  | half of them leave                             |
      | cut apart                   | 60    | 304   | 200  | a third is cut off from the others             |
      | the issuer cut              | 7     | 200   | 50   | the issuer is cut off from the others          |
      | everyone alone              | 60    | 304   | 200  | all are cut off from all                       |
      | everyone alone, no store    | 195   | 574   | 200  | the store is dark and all are cut off from all |
      | no store                    | 60    | 304   | 200  | the store is dark                              |
      | no store for the issuer     | 7     | 200   | 50   | the issuer loses the store and its peers       |
      | lost answers                | 60    | 304   | 200  | the store loses what it answers                |
      | lost datagrams              | 7     | 200   | 50   | a third of the datagrams are lost              |
      | many lost datagrams         | 60    | 304   | 200  | a third of the datagrams are lost              |
