@fault-matrix
Feature: Two faults that meet

  Scenario Outline: <fault> at <step> and <other> at <where>
    Given <fault> hits the <victim> at <step>
    And <other> hits the <whom> at <where>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step | other | whom | where |
      | kill | middle | mid-stream | kill | head | mid-stream |
      | kill | middle | mid-stream | kill | entry | mid-stream |
      | kill | middle | first token | platform-outage | entry | claim |
      | freeze | middle | mid-stream | kill | last | mid-stream |
      | cut | head | mid-stream | kill | middle | finish |
      | platform-outage | entry | claim | kill | entry | mid-stream |
      | lost-reply | entry | claim | platform-outage | entry | claim |
      | lost-reply | entry | claim | kill | entry | call |
      | lost-reply | entry | call | lost-reply | entry | record result |
      | lost-reply | entry | record result | kill | entry | record result |
      | freeze | entry | claim | platform-outage | entry | claim |
      | freeze | entry | call | kill | middle | mid-stream |
      | lost-reply | controller | confirm | platform-outage | entry | confirm |
      | lost-reply | controller | confirm | kill | controller | config accept |
      | lost-reply | controller | confirm | operator-race | controller | confirm |
      | lapsed-lease | controller | order | kill | runner | order |
      | lapsed-lease | controller | order | lost-reply | controller | order reply |
      | lapsed-lease | controller | lease renew | operator-race | controller | plan |
      | platform-outage | controller | config accept | kill | controller | config spread |
      | platform-outage | controller | config accept | kill | entry | config spread |
      | operator-race | controller | confirm | slow-platform | controller | confirm |
      | kill | controller | confirm | operator-race | controller | confirm |
      | slow-link | middle | mid-stream | kill | last | mid-stream |
      | slow-platform | entry | claim | lost-reply | entry | claim |
