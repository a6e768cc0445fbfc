Feature: The soak's judges of desired states, new connections and long bodies

  # Guards against runs that only an older state allows, at a service that a route has left, on a
  # route or with a key that was dropped, and against refusals where an entry has to know a route.
  Scenario: Runs and refusals follow the desired state within the time for a change
    When the desired state is changed, and 10 requests are sent at 100 s to entry e0
      | case                                 | states                                 | key | path | status | service | disturbed | reported |
      | as the only state says               | 50 a:acme once:crm                     | a   | once | 200    | crm     |           | 0        |
      | the old service, in time             | 50 a:acme once:crm, 98.1 a:acme once:erp  | a | once | 200   | crm     |           | 0        |
      | the old service, too late            | 50 a:acme once:crm, 97.9 a:acme once:erp  | a | once | 200   | crm     |           | 10       |
      | the same, out of touch               | 50 a:acme once:crm, 97.9 a:acme once:erp  | a | once | 200   | crm     | e0 98     | 0        |
      | the new service, at once             | 50 a:acme once:crm, 99.9 a:acme once:erp  | a | once | 200   | erp     |           | 0        |
      | one of a split                       | 50 a:acme once:crm, 97.9 a:acme once:crm+erp | a | once | 200 | crm    |           | 0        |
      | a route dropped, in time             | 50 a:acme once:crm, 98.1 a:acme        | a   | once | 200    | crm     |           | 0        |
      | a route dropped, too late            | 50 a:acme once:crm, 97.9 a:acme        | a   | once | 200    | crm     |           | 10       |
      | a dropped route refused              | 50 a:acme once:crm, 97.9 a:acme        | a   | once | 404    |         |           | 0        |
      | a new route refused, in time         | 50 a:acme, 98.1 a:acme once:crm        | a   | once | 404    |         |           | 0        |
      | a new route refused, too late        | 50 a:acme, 97.9 a:acme once:crm        | a   | once | 404    |         |           | 20       |
      | a new route, one state later         | 50 a:acme, 90 a:acme once:crm, 99 a:acme once:erp | a | once | 404 |  |          | 20       |
      | a key dropped, too late              | 50 a:acme once:crm, 97.9 once:crm      | a   | once | 200    | crm     |           | 10       |
      | a key passed on, refused             | 50 a:acme once:crm, 97.9 a:beta once:crm | a | once | 401    |         |           | 10       |
      | a key that left and came back        | 50 a:acme once:crm, 80 once:crm, 90 a:acme once:crm | a | once | 401 | |          | 20       |
      | a key dropped long ago, out of touch | 50 a:acme once:crm, 95 once:crm        | a   | once | 200    | crm     | e0 98     | 10       |
    Then the soak's judges of keys and routes report as many as told

  # Guards against a gateway that tells a runner another account than that of the key, also while
  # the key passes from one to another.
  Scenario: A run is for an account that held its key until then
    When a key has passed from one account to another, and a run of a request is sent at 100 s
      | case                           | states                                          | account | service | reported |
      | the first account              | 50 a:acme once:crm                              | acme    | crm     | 0        |
      | another account                | 50 a:acme b:beta once:crm                       | beta    | crm     | 1        |
      | the account before             | 50 a:acme once:crm, 90 a:beta once:crm          | acme    | crm     | 0        |
      | the account after              | 50 a:acme once:crm, 90 a:beta once:crm          | beta    | crm     | 0        |
      | the next account, sent later   | 50 a:acme once:crm, 101 a:beta once:crm         | beta    | crm     | 1        |
      | an account that never held it  | 50 a:acme c:gamma once:crm, 90 a:beta once:crm  | gamma   | crm     | 1        |
      | a service that never was named | 50 a:acme once:crm, 90 a:acme once:erp          | acme    | llm     | 1        |
      | a service of before            | 50 a:acme once:crm, 90 a:acme once:erp          | acme    | crm     | 0        |
      | a service of a later state     | 50 a:acme once:crm, 101 a:acme once:erp         | acme    | erp     | 1        |
    Then the soak's judge of runs reports as many as told

  # Guards against routes that are known to an entry and yet hardly served, since they came later.
  Scenario: Added routes are served at least a quarter as often as the first ones
    When requests are sent on the first routes and on routes that were added at 60 s
      | case                           | sent | first | served | added | added served | disturbed | calm | reported |
      | all served                     | 100  | 20    | 20     | 20    | 20           |           | yes  | 0        |
      | a quarter as often             | 100  | 20    | 20     | 20    | 5            |           | yes  | 0        |
      | less often                     | 100  | 20    | 20     | 20    | 4            |           | yes  | 1        |
      | never                          | 100  | 20    | 20     | 20    | 0            |           | yes  | 1        |
      | never, but too few             | 100  | 20    | 20     | 19    | 0            |           | yes  | 0        |
      | never, but disturbed elsewhere | 100  | 20    | 20     | 20    | 0            |           | no   | 0        |
      | never, out of touch            | 100  | 20    | 20     | 20    | 0            | e0 98     | yes  | 0        |
      | never, added too late          | 61.9 | 20    | 20     | 20    | 0            |           | yes  | 0        |
      | neither is served              | 100  | 20    | 0      | 20    | 0            |           | yes  | 0        |
      | as rarely                      | 100  | 20    | 4      | 20    | 1            |           | yes  | 0        |
    Then the soak's judge of added routes reports as many as told

  # Guards against an entry that takes up an older desired state again, from a late answer of the
  # store or from another process, after it has followed a newer one.
  Scenario: An entry that has followed a desired state follows no older one in the same life
    When route once leads to crm from 50 s, to erp from 90 s and to crm again from 95 s
      | case                             | handled                                       | starts    | slowed | reported |
      | the newer after the older        | 90.1 crm, 90.5 erp                            |           |        | 0        |
      | the older after the newer        | 90.1 erp, 91 crm                              |           |        | 1        |
      | the same, within 0.25 s          | 90.1 erp, 90.3 crm                            |           |        | 0        |
      | the same, just later             | 90.1 erp, 90.4 crm                            |           |        | 1        |
      | within 2 s on a slowed machine   | 90.1 erp, 91 crm                              |           | yes    | 0        |
      | later on a slowed machine        | 90.1 erp, 92.2 crm                            |           | yes    | 1        |
      | in another life                  | 90.1 erp, 93 crm                              | 92        |        | 0        |
      | at another entry                 | 90.1 erp, 91 crm@e1                           |           |        | 0        |
      | the newest, which says the same  | 90.1 erp, 95.1 crm                            |           |        | 0        |
      | each of several                  | 90.1 erp, 91 crm, 92 crm                      |           |        | 2        |
      | refused as before its key came   | 90.1 new, 91 401                              |           |        | 1        |
      | refused for a key that never was | 90.1 new, 91 never                            |           |        | 0        |
      | refused before                   | 90.1 401, 91 new                              |           |        | 0        |
    Then the soak's judge of downgrades reports as many as told

  # Guards against a gateway that lets requests through whose keys it doesn't know.
  Scenario: A request with a key that was never valid runs nowhere and gets 401
    When a request is sent at 100 s with a key, and a and b are valid from 50 s on
      | case                         | key | path  | status | runs | disturbed | reported |
      | known                        | a   | once  | 200    | yes  |           | 0        |
      | known, refused               | a   | once  | 401    | no   |           | 0        |
      | unknown                      | x   | once  | 401    | no   |           | 0        |
      | unknown, ran                 | x   | once  | 200    | yes  |           | 1        |
      | unknown, ran and refused     | x   | once  | 401    | yes  |           | 1        |
      | the same, out of touch       | x   | once  | 401    | yes  | e0 99     | 1        |
      | unknown, refused for load    | x   | once  | 429    | no   |           | 0        |
      | unknown, no state known      | x   | once  | 503    | no   |           | 0        |
      | unknown, told of no route    | x   | once  | 404    | no   |           | 1        |
      | unknown on an unknown route  | x   | other | 404    | no   |           | 0        |
      | unknown, a gateway error     | x   | once  | 502    | no   |           | 1        |
      | the same, out of touch       | x   | once  | 502    | no   | e0 99     | 0        |
      | unknown, no answer           | x   | once  | 0      | no   |           | 0        |
    Then the soak's judge of unknown keys reports as many as told

  # Guards against an entry that tells the platform that it is ready while it takes no connection.
  Scenario: A ready entry takes a connection within the contact time if seven clients try
    When clients try to connect to entry e0 from 100 s on, one each 0.4 s
      | case                          | clients | taken | not ready | disturbed        | until | reported |
      | none taken                    | 8       |       |           |                  | 110   | 1        |
      | all taken                     | 8       | 1 2 3 4 5 6 7 8 |  |                 | 110   | 0        |
      | the first taken               | 8       | 1     |           |                  | 110   | 1        |
      | one in the middle taken       | 8       | 5     |           |                  | 110   | 0        |
      | six clients                   | 6       |       |           |                  | 110   | 0        |
      | seven clients                 | 7       |       |           |                  | 110   | 1        |
      | eight attempts of six clients | 6 twice |       |           |                  | 110   | 0        |
      | not ready in between          | 8       |       | 101       |                  | 110   | 0        |
      | not ready before              | 8       |       | 99        |                  | 110   | 1        |
      | one question without answer   | 8       |       | 101 miss  |                  | 110   | 1        |
      | no answer until then          | 8       |       | 95 unborn |                  | 110   | 0        |
      | two in a row                  | 8       |       | 101 two misses |             | 110   | 0        |
      | out of touch                  | 8       |       |           | e0 97.5          | 110   | 0        |
      | its link cut                  | 8       |       |           | callers to e0 101 | 110  | 0        |
      | another disturbed             | 8       |       |           | e1 101           | 110   | 1        |
      | the play ends before          | 8       |       |           |                  | 102   | 0        |
    Then the soak's judge of connections reports as many as told

  # Guards against a runner that reads the head of another request where a body goes on.
  Scenario: Where the rest of a body is due nothing else may come
    When a runner reads a body of 40 bytes that it has answered
      | case                     | received                           | wrong at |
      | the whole body           | 0-40                               |          |
      | in pieces                | 0-10 10-11 11-40                   |          |
      | the end of a connection  | 0-10                               |          |
      | a request in its place   | 0-10 POST                          | 10       |
      | nothing but a request    | POST                               | 0        |
      | a piece left out         | 0-10 11-40                         | 10       |
      | a piece twice            | 0-10 9-40                          | 10       |
      | its last byte another    | 0-39 !                             | 39       |
    Then the soak finds the first wrong byte of each
