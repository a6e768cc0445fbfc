# Written by tools/write_matrix.py. Cells that can't occur:
#   lost-reply at admit: the caller's request has no reply before its first token
#   lost-reply at route: choosing a route crosses no interface; the stream's start has its own
#   lost-reply at order: nothing has been done yet that a reply could tell; see order reply
#   lapsed-lease at admit to record result: no lease is needed on a request's path
@fault-matrix
Feature: Every fault at every step: stream_start

  Scenario Outline: <fault> hits the <victim> at <step>
    Given <fault> hits the <victim> at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | middle | admit |
      | kill | entry | admit |
      | cut | middle | admit |
      | cut | entry | admit |
      | freeze | middle | admit |
      | freeze | entry | admit |
      | slow-link | middle | admit |
      | slow-link | entry | admit |
      | kill | head | route |
      | kill | middle | route |
      | kill | entry | route |
      | cut | head | route |
      | cut | middle | route |
      | cut | entry | route |
      | freeze | head | route |
      | freeze | middle | route |
      | freeze | entry | route |
      | slow-link | head | route |
      | slow-link | middle | route |
      | slow-link | entry | route |
      | kill | head | first token |
      | kill | middle | first token |
      | kill | last | first token |
      | kill | entry | first token |
      | cut | head | first token |
      | cut | middle | first token |
      | cut | last | first token |
      | cut | entry | first token |
      | freeze | head | first token |
      | freeze | middle | first token |
      | freeze | last | first token |
      | freeze | entry | first token |
      | slow-link | head | first token |
      | slow-link | middle | first token |
      | slow-link | last | first token |
      | slow-link | entry | first token |
      | platform-outage | platform | admit |
      | slow-platform | platform | admit |
      | platform-outage | platform | route |
      | slow-platform | platform | route |
      | platform-outage | platform | first token |
      | slow-platform | platform | first token |
      | lost-reply | reply | first token |
      | operator-race | operators | admit |
      | operator-race | operators | route |
      | operator-race | operators | first token |
