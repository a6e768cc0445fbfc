Feature: The soak's judges of single rules

  # Guards against runs that nobody compares with what was sent: another body, path or account passed.
  Scenario: A run has to be what its caller sent, for the caller's account, at the route's service
    When a request to route once is sent and a runner records a run
      | case                 | changed                  | verdict                     |
      | as sent              |                          |                             |
      | its retry elsewhere  | service erp              |                             |
      | another id           | request_id r2            | though no caller sent it    |
      | no id                | request_id               | though no caller sent it    |
      | another method       | method GET               | as SentRequest              |
      | another path         | target /once/y?q=1       | as SentRequest              |
      | no query             | target /once/x           | as SentRequest              |
      | another body         | body other               | as SentRequest              |
      | a part of the body   | body bo                  | as SentRequest              |
      | another model        | x-model m2               | as SentRequest              |
      | another token usage  | x-token-usage 1,3        | as SentRequest              |
      | another prefix       | x-prompt-prefix a:1      | as SentRequest              |
      | a header of a runner | priority 3               |                             |
      | another account      | account other            | for the account 'other'     |
      | no account           | account                  | for the account ''          |
      | another service      | service llm              | though its route is once    |
    Then the soak's judge of runs gives each verdict

  # Guards against runners that work for longer than callers wait.
  Scenario: Too many deadlines beyond what callers have left break a rule
    When requests with a deadline of 6 s are sent at 100 s, and reach a runner
      | case                               | count | arrivals                | disturbed | held | reported |
      | once, with what is left            | 30    | 100.1 5900              |           |      | 0        |
      | once, with no deadline             | 20    | 100.1 none              |           |      | 0        |
      | the same, one more                 | 21    | 100.1 none              |           |      | 21       |
      | once, with 0.5 s more              | 30    | 100.1 6500              |           |      | 0        |
      | once, with more                    | 21    | 100.1 6501              |           |      | 21       |
      | the same, entry disturbed          | 21    | 100.1 6501              | e0 97.2   |      | 0        |
      | the same, entry disturbed before   | 21    | 100.1 6501              | e0 97.0   |      | 21       |
      | the same, runner held up           | 21    | 100.1 6501              |           | pa   | 0        |
      | again, with what is left           | 30    | 100.1 5900, 102.1 3900  |           |      | 0        |
      | again, with as much as at first    | 21    | 100.1 5900, 102.1 5900  |           |      | 21       |
      | the same, at once                  | 21    | 100.1 5900, 100.5 5900  |           |      | 0        |
      | again, 0.5 s more than is left     | 30    | 100.1 5900, 102.1 4399  |           |      | 0        |
      | again, more than the caller's only | 30    | 100.1 6400, 102.1 4850  |           |      | 0        |
    Then the soak's judge of deadlines reports as many as told

  # Guards against reporting a few among many, which are allowed.
  Scenario: Deadlines that are too long in a fifth of what is sent again late are allowed
    Then the soak's judge of deadlines reports this many of the requests that are sent again late
      | too long | in time | reported |
      | 21       | 84      | 0        |
      | 21       | 83      | 21       |

  # Guards against runners that work for callers who have left.
  Scenario: Work for callers that have left breaks a rule if it goes on or arrives too often
    When callers of long requests leave at 100 s
      | case                              | count | route   | takes | arrivals   | work        | how  | disturbed | held | reported |
      | cancelled in time                 | 10    | again   | 2     | 99.5       | 99.5 100.4  | left |           |      | 0        |
      | not cancelled                     | 10    | again   | 2     | 99.5       | 99.5 101.5  | left |           |      | 11       |
      | never cancelled                   | 10    | stream  | 2     | 99.5       | 99.5 inf    | left |           |      | 11       |
      | a stream that may not be resumed  | 10    | fragile | 2     | 99.5       | 99.5 101.5  | left |           |      | 11       |
      | given up at the deadline          | 10    | again   | 9     | 99.5       | 99.5 101.5  | late |           |      | 11       |
      | the caller stays                  | 10    | again   | 2     | 99.5       | 99.5 101.5  | whole |          |      | 0        |
      | may run to its end                | 10    | once    | 2     | 99.5       | 99.5 101.5  | left |           |      | 0        |
      | would have ended by then          | 10    | again   | 0.8   | 99.5       | 99.5 101.5  | left |           |      | 0        |
      | a few                             | 3     | again   | 2     | 99.5       | 99.5 101.5  | left |           |      | 0        |
      | the entry was disturbed           | 10    | again   | 2     | 99.5       | 99.5 101.5  | left | e0 97.5   |      | 0        |
      | another entry was disturbed       | 10    | again   | 2     | 99.5       | 99.5 101.5  | left | e1 97.5   |      | 11       |
      | its link to callers was disturbed | 10    | again   | 2     | 99.5       | 99.5 101.5  | left | callers to e0 100.3 | | 0      |
      | the runner was disturbed          | 10    | again   | 2     | 99.5       | 99.5 101.5  | left | pa 100.3  |      | 0        |
      | the runner was held up            | 10    | again   | 2     | 99.5       | 99.5 101.5  | left |           | pa   | 0        |
      | arrives in time                   | 10    | once    | 0     | 100.5      |             | left |           |      | 0        |
      | arrives later                     | 10    | once    | 0     | 100.6      |             | left |           |      | 10       |
      | a few arrive later                | 3     | once    | 0     | 100.6      |             | left |           |      | 0        |
      | arrives later, entry disturbed    | 10    | once    | 0     | 102        |             | left | e0 101.5  |      | 0        |
    Then the soak's judge of callers that leave reports as many lines as told

  # Guards against callers that get no answer at their route's timeout.
  Scenario: Requests without an answer after their timeout break a rule if they are too many
    When requests are sent at 100 s to a route whose timeout is 5 s
      | case                          | unanswered | answered | how    | ended | changed       | disturbed | reported |
      | answered before               | 1          | 0        | whole  | 104.9 |               |           | 0        |
      | answered soon after           | 1          | 0        | whole  | 105.4 |               |           | 0        |
      | one of one, later             | 1          | 0        | whole  | 105.6 |               |           | 1        |
      | cut later                     | 1          | 0        | closed | 105.6 |               |           | 1        |
      | never answered                | 1          | 0        | late   | inf   |               |           | 1        |
      | half of them                  | 4          | 4        | late   | inf   |               |           | 0        |
      | more than half                | 5          | 4        | late   | inf   |               |           | 5        |
      | seven, more than a quarter    | 7          | 14       | late   | inf   |               |           | 0        |
      | eight, more than a quarter    | 8          | 16       | late   | inf   |               |           | 8        |
      | eight, a quarter              | 8          | 24       | late   | inf   |               |           | 0        |
      | the caller leaves             | 1          | 0        | left   | 105.6 |               |           | 0        |
      | the caller pauses             | 1          | 0        | slow   | 105.6 |               |           | 0        |
      | not wholly sent               | 1          | 0        | unsent | 105.6 |               |           | 0        |
      | a longer timeout is due       | 1          | 0        | whole  | 105.6 | 99 6          |           | 0        |
      | a longer one may be in force  | 1          | 0        | whole  | 105.6 | 90 6, 98.5 5  |           | 0        |
      | a longer one was in force     | 1          | 0        | whole  | 105.6 | 90 6, 97.5 5  |           | 1        |
      | longer than the caller waits  | 1          | 0        | late   | inf   | 90 7.6        |           | 0        |
      | the entry was disturbed       | 1          | 0        | late   | inf   |               | e0 104    | 0        |
      | another was disturbed         | 1          | 0        | late   | inf   |               | e1 104    | 1        |
    Then the soak's judge of timeouts reports as many as told

  # Guards against keys that are used after they were taken away, or refused after they were added.
  Scenario: A key follows the desired state within the time for a change
    When requests are sent at 100 s, and keys a and b are valid from 50 s on
      | case                                | count | key | status | runs | changed        | disturbed | reported |
      | served                              | 10    | a   | 200    | yes  |                |           | 0        |
      | taken away, refused                 | 10    | a   | 401    | no   | 97.9 b         |           | 0        |
      | taken away, served while it may be  | 10    | a   | 200    | yes  | 98.1 b         |           | 0        |
      | taken away, served later            | 1     | a   | 200    | yes  | 97.9 b         |           | 1        |
      | the same, the store disturbed       | 1     | a   | 200    | yes  | 97.9 b         | store 99  | 0        |
      | the same, the entry disturbed       | 1     | a   | 200    | yes  | 97.9 b         | e0 99     | 0        |
      | the same, another entry disturbed   | 1     | a   | 200    | yes  | 97.9 b         | e1 99     | 1        |
      | added, refused while it may be      | 10    | c   | 401    | no   | 98.1 a,b,c     |           | 0        |
      | added, refused later                | 1     | c   | 401    | no   | 97.9 a,b,c     |           | 1        |
      | added, no route for it              | 1     | c   | 404    | no   | 97.9 a,b,c     |           | 1        |
      | added, refused for load             | 10    | c   | 429    | no   | 97.9 a,b,c     |           | 0        |
      | added, the store disturbed          | 1     | c   | 401    | no   | 97.9 a,b,c     | store 99  | 0        |
      | always valid, a few refused         | 5     | a   | 401    | no   |                |           | 0        |
      | always valid, more refused          | 6     | a   | 401    | no   |                |           | 6        |
      | always valid, redirected            | 6     | a   | 302    | no   |                |           | 6        |
      | always valid, found bad             | 6     | a   | 400    | no   |                |           | 6        |
      | always valid, refused for load      | 20    | a   | 429    | no   |                |           | 0        |
      | always valid, timed out             | 20    | a   | 408    | no   |                |           | 0        |
      | out of touch, some refused          | 10    | a   | 401    | no   |                | store 99  | 0        |
      | out of touch, more refused          | 11    | a   | 401    | no   |                | store 99  | 11       |
      | out of touch, more found bad        | 11    | a   | 400    | no   |                | store 99  | 0        |
      | being taken away                    | 11    | a   | 401    | no   | 100.01 b       |           | 0        |
    Then the soak's judge of keys reports as many as told

  # Guards against counting on entries that have just started, stopped or been slowed.
  Scenario: An entry is in touch once nothing has disturbed it for 3 s
    Then the soak counts an entry as in touch from 100 s to 101 s
      | case                   | what            | at    | in touch |
      | nothing                |                 |       | yes      |
      | started                | start e0        | 97.1  | no       |
      | started before         | start e0        | 96.9  | yes      |
      | another one started    | start e1        | 99    | yes      |
      | stopped                | stop e0         | 97.1  | no       |
      | stopped before         | stop e0         | 96.9  | yes      |
      | away                   | absence e0      | 99    | no       |
      | slowed                 | slowed e0       | 99    | no       |
      | disturbed              | unplanned e0    | 97.1  | no       |
      | disturbed before       | unplanned e0    | 96.9  | yes      |
      | disturbed meanwhile    | unplanned e0    | 100.9 | no       |
      | disturbed later        | unplanned e0    | 101.1 | yes      |
      | its link to the store  | unplanned e0 to store | 99 | no     |
      | the store              | unplanned store | 99    | no       |
      | a runner of its own    | unplanned pa    | 99    | no       |
      | another runner         | unplanned pb    | 99    | yes      |
      | a reload               | reload e0       | 99    | yes      |

  # Guards against entries that a balancer sends new connections while all of them stop.
  Scenario: Entries that are stopped together don't count as ready 4 s later
    Then the soak judges entries that were stopped together
      | case                             | before      | running     | answers          | verdict |
      | none is ready                    | e0 e1       | e0 e1       | e0 ynnn, e1 nnnn |         |
      | ready until just before          | e0 e1       | e0 e1       | e0 yynn, e1 yynn |         |
      | one miss                         | e0 e1       | e0 e1       | e0 yyyn, e1 yyyn | e0 e1   |
      | all are ready                    | e0 e1       | e0 e1       | e0 yyyy, e1 yyyy | e0 e1   |
      | one of them                      | e0 e1       | e0 e1       | e0 yyyy, e1 nnnn |         |
      | one has ended                    | e0 e1       | e0          | e0 yyyy, e1 yyyy |         |
      | weren't ready before             |             | e0 e1       | e0 yyyy, e1 yyyy |         |
      | two of eight                     | e0 e1 e2 e3 e4 e5 e6 e7 | e0 e1 | e0 yyyy, e1 yyyy | |
      | two of seven                     | e0 e1 e2 e3 e4 e5 e6    | e0 e1 | e0 yyyy, e1 yyyy | e0 e1 |
