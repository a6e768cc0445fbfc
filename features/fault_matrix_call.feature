# Written by tools/write_matrix.py. Cells that can't occur:
#   lost-reply at admit: the caller's request has no reply before its first token
#   lost-reply at route: choosing a route crosses no interface; the stream's start has its own
#   lost-reply at order: nothing has been done yet that a reply could tell; see order reply
#   lapsed-lease at admit to record result: no lease is needed on a request's path
@fault-matrix
Feature: Every fault at every step: call

  Scenario Outline: <fault> hits the <victim> at <step>
    Given <fault> hits the <victim> at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | entry | claim |
      | kill | service | claim |
      | cut | entry | claim |
      | cut | service | claim |
      | freeze | entry | claim |
      | freeze | service | claim |
      | slow-link | entry | claim |
      | slow-link | service | claim |
      | kill | entry | call |
      | kill | service | call |
      | cut | entry | call |
      | cut | service | call |
      | freeze | entry | call |
      | freeze | service | call |
      | slow-link | entry | call |
      | slow-link | service | call |
      | kill | entry | record result |
      | kill | service | record result |
      | cut | entry | record result |
      | cut | service | record result |
      | freeze | entry | record result |
      | freeze | service | record result |
      | slow-link | entry | record result |
      | slow-link | service | record result |
      | platform-outage | platform | claim |
      | slow-platform | platform | claim |
      | platform-outage | platform | call |
      | slow-platform | platform | call |
      | platform-outage | platform | record result |
      | slow-platform | platform | record result |
      | lost-reply | reply | claim |
      | lost-reply | reply | call |
      | lost-reply | reply | record result |
      | operator-race | operators | claim |
      | operator-race | operators | call |
      | operator-race | operators | record result |
