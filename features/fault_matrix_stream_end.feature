# Written by tools/write_matrix.py. Cells that can't occur:
#   lost-reply at admit: the caller's request has no reply before its first token
#   lost-reply at route: choosing a route crosses no interface; the stream's start has its own
#   lost-reply at order: nothing has been done yet that a reply could tell; see order reply
#   lapsed-lease at admit to record result: no lease is needed on a request's path
@fault-matrix
Feature: Every fault at every step: stream_end

  Scenario Outline: <fault> hits the <victim> at <step>
    Given <fault> hits the <victim> at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | head | mid-stream |
      | kill | middle | mid-stream |
      | kill | last | mid-stream |
      | kill | entry | mid-stream |
      | cut | head | mid-stream |
      | cut | middle | mid-stream |
      | cut | last | mid-stream |
      | cut | entry | mid-stream |
      | freeze | head | mid-stream |
      | freeze | middle | mid-stream |
      | freeze | last | mid-stream |
      | freeze | entry | mid-stream |
      | slow-link | head | mid-stream |
      | slow-link | middle | mid-stream |
      | slow-link | last | mid-stream |
      | slow-link | entry | mid-stream |
      | kill | head | finish |
      | kill | middle | finish |
      | kill | entry | finish |
      | cut | head | finish |
      | cut | middle | finish |
      | cut | entry | finish |
      | freeze | head | finish |
      | freeze | middle | finish |
      | freeze | entry | finish |
      | slow-link | head | finish |
      | slow-link | middle | finish |
      | slow-link | entry | finish |
      | platform-outage | platform | mid-stream |
      | slow-platform | platform | mid-stream |
      | platform-outage | platform | finish |
      | slow-platform | platform | finish |
      | lost-reply | reply | mid-stream |
      | lost-reply | reply | finish |
      | operator-race | operators | mid-stream |
      | operator-race | operators | finish |
