@fault-matrix
Feature: The same fault twice

  Scenario Outline: <fault> hits the <victim> at <step>, twice
    Given <fault> strikes the <victim> 2 times at <step>
    When callers and operators go about their work
    Then the fault came
    And everything still holds
    And afterwards a request is answered as if nothing had been

    Examples:
      | fault | victim | step |
      | kill | head | first token |
      | kill | head | mid-stream |
      | kill | entry | claim |
      | kill | entry | call |
      | kill | entry | record result |
      | kill | controller | confirm |
      | freeze | head | first token |
      | freeze | head | mid-stream |
      | freeze | entry | call |
      | freeze | controller | order |
      | freeze | controller | config spread |
      | cut | head | first token |
      | cut | head | mid-stream |
      | cut | entry | call |
      | cut | controller | order |
      | lost-reply | reply | claim |
      | lost-reply | reply | record result |
      | lost-reply | reply | confirm |
      | lost-reply | reply | order reply |
      | lost-reply | reply | lease renew |
      | lost-reply | reply | plan |
      | lost-reply | reply | first token |
      | lost-reply | reply | mid-stream |
      | lost-reply | reply | call |
      | lost-reply | reply | config accept |
