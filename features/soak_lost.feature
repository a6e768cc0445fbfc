Feature: The soak's judge of requests that end without an answer

  # Guards against a soak that reports nothing while callers get neither an answer nor a refusal, and
  # against one that blames an entry for what runners, faults or time limits ended.
  Scenario: A request counts as lost if nothing but its entry can have ended it
    When calls to an entry are sent at 100 s and end without a whole answer
      | case                              | planned      | disturbed          | sent | ended | how    | bytes | runners | work        | loss                  |
      | closed, nothing around            |              |                    | 100  | 100.5 | closed | 0     | pa      | 100.1 101   | closed unanswered     |
      | reset, nothing around             |              |                    | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   | closed unanswered     |
      | cut in its answer                 |              |                    | 100  | 100.5 | closed | 70    | pa      | 100.1 101   |                       |
      | crossed a close                   |              |                    | 100  | 100.1 | closed | 0     |         |             |                       |
      | never handed on                   |              |                    | 100  | 102   | closed | 0     |         |             |                       |
      | the first on its connection       |              |                    | 100  | 100.5 | first  | 0     | pa      | 100.1 101   |                       |
      | not wholly sent                   |              |                    | 100  | 100.5 | unsent | 0     |         |             |                       |
      | the caller left                   | stop 99      |                    | 100  | 100.5 | left   | 0     | pa      | 100.1 101   |                       |
      | the caller gave up                | stop 99      |                    | 100  | 108   | late   | 0     | pa      | 100.1 109   |                       |
      | answered                          | stop 99      |                    | 100  | 100.5 | whole  | 70    | pa      | 100.1 100.4 |                       |
      | entry killed                      |              | e0 100.3           | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   |                       |
      | another entry killed              |              | e1 100.3           | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   | closed unanswered     |
      | entry disturbed 2.9 s before      |              | e0 97.1            | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   |                       |
      | entry disturbed 3.1 s before      |              | e0 96.9            | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   | closed unanswered     |
      | its link to callers cut           |              | callers to e0 99   | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   |                       |
      | its runner killed                 |              | pa 100.2           | 100  | 100.5 | reset  | 0     | pa      | 100.1 100.2 |                       |
      | the second of its runners killed  |              | pb 100.2           | 100  | 100.5 | reset  | 0     | pa pb   | 100.1 100.2 |                       |
      | another runner killed             |              | pb 100.2           | 100  | 100.5 | reset  | 0     | pa      | 100.1 101   | closed unanswered     |
      | its runner broke off              |              | break              | 100  | 100.5 | reset  | 0     | pa      | 100.1 100.2 |                       |
      | store down                        |              | store 99           | 100  | 100.5 | closed | 0     | pa      | 100.1 101   |                       |
      | store down, no key needed         |              | store 99           | 100  | 100.5 | keyless | 0    | pa      | 100.1 101   | closed unanswered     |
      | timeout reached                   | stop 99      |                    | 100  | 105   | closed | 0     | pa      | 100.1 106   |                       |
      | cut in its answer after SIGTERM   | stop 99      |                    | 100  | 100.5 | closed | 70    | pa      | 100.1 101   | lost around a stop    |
      | never handed on after SIGTERM     | stop 99      |                    | 100  | 100.3 | closed | 0     |         |             | lost around a stop    |
      | crossed a close after SIGTERM     | stop 99      |                    | 100  | 100.1 | closed | 0     |         |             |                       |
      | held by a proxy, closed at once  | stop 99    |                    | 100  | 100.3 | held   | 0     |             |             |                       |
      | held by a proxy, closed later    | stop 99    |                    | 100  | 100.5 | held   | 0     |             |             | lost around a stop    |
      | never passed on by a proxy       | stop 99    |                    | 100  | 100.5 | held back | 0  |             |             |                       |
      | seen 0.15 s late, closed at once | stop 99    |                    | 100  | 100.3 | seen late | 0  |             |             |                       |
      | seen 0.15 s late, closed later   | stop 99    |                    | 100  | 100.4 | seen late | 0  |             |             | lost around a stop    |
      | seen late, handed on             | stop 99    |                    | 100  | 100.3 | seen late | 0  | pa          | 100.1 101   | lost around a stop    |
      | handed on and cut at once         | stop 99      |                    | 100  | 100.1 | closed | 0     | pa      | 100.05 101  | lost around a stop    |
      | SIGTERM and a kill                | stop 99      | e0 100.4           | 100  | 100.5 | closed | 70    | pa      | 100.1 101   |                       |
      | at work in the last part of grace | stop 97      |                    | 100  | 101.3 | closed | 0     | pa      | 100.1 102   |                       |
      | done before it                    | stop 97      |                    | 100  | 101.3 | closed | 0     | pa      | 100.1 101   | lost around a stop    |
      | done before it, read slowly       | stop 97      |                    | 100  | 101.3 | slow   | 70    | pa      | 100.1 101   |                       |
      | the same beside a change          | stop 97, change 100 |             | 100  | 101.3 | slow   | 70    | pa      | 100.1 101   |                       |
      | read slowly, cut before it        | stop 97      |                    | 100  | 101.1 | slow   | 70    | pa      | 100.1 101   | lost around a stop    |
      | the same, sent later              | stop 96.9    |                    | 100  | 101.3 | closed | 0     | pa      | 100.1 102   | lost around a stop    |
      | 1 s after the grace period        | stop 94.4    |                    | 100  | 100.3 | closed | 0     | pa      | 100.1 102   | lost around a stop    |
      | later                             | stop 94.2    |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   |                       |
      | SIGTERM of another entry          | stop-e1 99   |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   |                       |
      | cut after SIGHUP                  | reload 100.2 |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   | lost around a reload  |
      | cut before SIGHUP                 | reload 100.4 |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   |                       |
      | sent 2 s after SIGHUP             | reload 98    |                    | 100  | 104   | closed | 70    | pa      | 100.1 105   | lost around a reload  |
      | sent later after SIGHUP           | reload 97.9  |                    | 100  | 104   | closed | 70    | pa      | 100.1 105   |                       |
      | cut after a change                | change 100.2 |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   | lost around a change  |
      | 3 s after a change                | change 97.4  |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   | lost around a change  |
      | later after a change              | change 97.2  |                    | 100  | 100.3 | closed | 70    | pa      | 100.1 102   |                       |
      | seven tenths of its time used     | change 102   |                    | 100  | 103.6 | closed | 70    | pa      | 100.1 105   |                       |
      | cut as often at other times       | change 100.2 | often              | 100  | 100.3 | closed | 70    | pa      | 100.1 102   |                       |
      | the same, closed unanswered       | change 100.2 | often              | 100  | 100.3 | closed | 0     | pa      | 100.1 102   | closed unanswered     |
    Then the soak counts each of them as told

  # Guards against reporting the few connections that may be closed, and against passing over more.
  Scenario: More than three closed connections without an answer break a promise
    Then the soak reports this many of the calls whose connections were closed unanswered
      | closed | reported |
      | 3      | 0        |
      | 4      | 4        |

  # Guards against excusing a late close by a time in which the soak was late before it had to come.
  Scenario: What the soak sees may have happened as far back as it was late right before
    When the soak was late from 99.7 to 99.97 s, from 100 to 100.2 s and from 100.23 to 100.5 s
      | seen at | earliest |
      | 99.6    | 99.6     |
      | 99.9    | 99.7     |
      | 100.1   | 99.7     |
      | 100.4   | 100      |
      | 100.53  | 100      |
      | 100.55  | 100.55   |
      | 101     | 101      |
    Then what it saw may have happened no sooner than told
