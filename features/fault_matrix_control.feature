# Written by tools/write_matrix.py. Cells that can't occur:
#   lost-reply at admit: the caller's request has no reply before its first token
#   lost-reply at route: choosing a route crosses no interface; the stream's start has its own
#   lost-reply at order: nothing has been done yet that a reply could tell; see order reply
#   lapsed-lease at admit to record result: no lease is needed on a request's path
@fault-matrix
Feature: Every fault at every step: control

  Scenario Outline: <fault> hits the <victim> at <step>
    Given <fault> hits the <victim> at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | controller | lease renew |
      | cut | controller | lease renew |
      | freeze | controller | lease renew |
      | slow-link | controller | lease renew |
      | kill | controller | plan |
      | cut | controller | plan |
      | freeze | controller | plan |
      | slow-link | controller | plan |
      | kill | controller | confirm |
      | cut | controller | confirm |
      | freeze | controller | confirm |
      | slow-link | controller | confirm |
      | kill | controller | order |
      | kill | runner | order |
      | cut | controller | order |
      | cut | runner | order |
      | freeze | controller | order |
      | freeze | runner | order |
      | slow-link | controller | order |
      | slow-link | runner | order |
      | kill | controller | order reply |
      | kill | runner | order reply |
      | cut | controller | order reply |
      | cut | runner | order reply |
      | freeze | controller | order reply |
      | freeze | runner | order reply |
      | slow-link | controller | order reply |
      | slow-link | runner | order reply |
      | platform-outage | platform | lease renew |
      | slow-platform | platform | lease renew |
      | platform-outage | platform | plan |
      | slow-platform | platform | plan |
      | platform-outage | platform | confirm |
      | slow-platform | platform | confirm |
      | platform-outage | platform | order |
      | slow-platform | platform | order |
      | platform-outage | platform | order reply |
      | slow-platform | platform | order reply |
      | lost-reply | reply | lease renew |
      | lost-reply | reply | plan |
      | lost-reply | reply | confirm |
      | lost-reply | reply | order reply |
      | lapsed-lease | controller | lease renew |
      | lapsed-lease | controller | plan |
      | lapsed-lease | controller | confirm |
      | lapsed-lease | controller | order |
      | lapsed-lease | controller | order reply |
      | operator-race | operators | lease renew |
      | operator-race | operators | plan |
      | operator-race | operators | confirm |
      | operator-race | operators | order |
      | operator-race | operators | order reply |
