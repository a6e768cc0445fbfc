Feature: A part of a prompt that ends upstreams is quarantined, whatever requests it comes in

  # Guards against keeping evidence by whole requests only. Requests that shared one part of their
  # prompts, no two of them alike, ended 18 and 19 upstreams; each had one end (`ends=1`), so that
  # none was confirmed, and 11 and 13 were sent beyond the bound.

  Scenario Outline: However many different requests hold it, few reach upstreams: <route>, <circumstance>
    Given three gateway processes and upstreams that end under a part of a prompt
    When requests for <route> with such a part, no two alike, come among sound ones for 40 seconds, while <circumstance>
    Then at most 3 of them reach upstreams later than 3 seconds after the fifth end
    And its later callers are refused at once, with the reason
    And sound requests with the same first part are served meanwhile
    And no sound request is refused for ends of upstreams from then on

    Examples:
      | route   | circumstance                             |
      | stream  | all is well                              |
      | fragile | all is well                              |
      | stream  | processes don't reach each other         |
      | stream  | the store is dark at first               |
      | stream  | processes are killed one after the other |
      | stream  | two parts do so                          |
