# Written by tools/write_matrix.py. Cells that can't occur:
#   lost-reply at admit: the caller's request has no reply before its first token
#   lost-reply at route: choosing a route crosses no interface; the stream's start has its own
#   lost-reply at order: nothing has been done yet that a reply could tell; see order reply
#   lapsed-lease at admit to record result: no lease is needed on a request's path
@fault-matrix
Feature: Every fault at every step: configuration

  Scenario Outline: <fault> hits the <victim> at <step>
    Given <fault> hits the <victim> at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | controller | config accept |
      | kill | entry | config accept |
      | cut | controller | config accept |
      | cut | entry | config accept |
      | freeze | controller | config accept |
      | freeze | entry | config accept |
      | slow-link | controller | config accept |
      | slow-link | entry | config accept |
      | kill | controller | config spread |
      | kill | entry | config spread |
      | cut | controller | config spread |
      | cut | entry | config spread |
      | freeze | controller | config spread |
      | freeze | entry | config spread |
      | slow-link | controller | config spread |
      | slow-link | entry | config spread |
      | platform-outage | platform | config accept |
      | slow-platform | platform | config accept |
      | platform-outage | platform | config spread |
      | slow-platform | platform | config spread |
      | lost-reply | reply | config accept |
      | lost-reply | reply | config spread |
      | lapsed-lease | controller | config accept |
      | lapsed-lease | controller | config spread |
      | operator-race | operators | config accept |
      | operator-race | operators | config spread |
