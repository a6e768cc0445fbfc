Feature: Layers on upstreams: placement, healing and paths

  Scenario Outline: A plan brings a group closer to the whole model: <case>
    Given a model of 80 layers of 1750 MB and a group holding <held>
    When the group is planned with pending orders <pending>
    Then the plan is <plan>

    Examples:
      | case                          | held                                  | pending  | plan                |
      | nothing is missing            | big 0-40, big 40-80                   | none     | nothing             |
      | neighbours share a gap        | big 0-38, big 42-80                   | none     | a 0-40, b 40-80     |
      | one neighbour has no room     | full 0-20, big 24-80                  | none     | b 20-80             |
      | a pending order is waited for | big 0-38, big 42-80                   | a 0-42   | nothing             |
      | a busy host is passed over    | big 0-38, big 42-80                   | a 0-38   | b 38-80             |
      | no host is counted twice      | t4 57-58, big 0-58, t4 66-73, big 73-80 | b 0-58   | a 57-63, d 63-80 |
      | a full host hands layers on   | t4 0-8, big 8-80                      | none     | b 6-80              |
      | what is held twice is trimmed | t4 0-8, big 4-80                      | none     | a 0-6, b 6-80       |
      | twice is enough               | t4 0-6, big 4-80                      | none     | nothing             |
      | an idle host relieves         | mid 0-40, mid 40-80, mid none         | none     | c 0-36              |

  Scenario: A host that only extends its range also loads the layers in between
    Given a model of 80 layers of 1750 MB and a group holding full 0-18, full 18-36, full 36-54, full 50-68, l4 71-80, t4 71-75
    When its hosts may only extend their ranges
    Then the plan is f 68-75

  Scenario Outline: One plan closes a gap that is too wide for its neighbours: <case>
    Given a model of 80 layers of 1750 MB and a group holding <held>
    When the group is planned with pending orders <pending>
    Then the plan makes the model whole, and no host loads more than <most> layers

    Examples:
      | case                  | held | pending | most |
      | the fastest at the start is lost | l4 15-24, t4 23-29, a100s 29-42, l4 41-50, t4 49-54, t4 50-57, a100s 55-69, l4 69-76, t4 76-80 | none | 8 |
      | one host is busy      | l4 15-24, t4 23-29, a100s 29-42, l4 41-50, t4 49-54, t4 50-57, a100s 55-69, l4 69-76, t4 76-80 | a 15-24 | 9 |
      | one in the middle     | a100s 0-12, l4 12-19, t4 19-24, l4 41-48, t4 48-53, t4 53-57, a100s 57-69, l4 69-76, t4 76-80, t4 20-24 | none | 8 |

  Scenario: After a loss is healed, every host has memory for requests
    Given a model of 80 layers of 1750 MB and a group holding t4 0-7, l4 6-15, t4 15-18, l4 18-25, a100s 24-40, l4 36-43, l4 40-47, l4 47-55, t4 55-62, l4 60-69, t4 68-73, l4 73-80
    When the group is planned until no orders remain
    Then every layer is held after 2 plans and no host is filled beyond 0.8 of its memory

  Scenario: The first placement gives each host layers in proportion to its memory
    Given a model of 80 layers of 1750 MB and the upstreams of one domain, all empty
    When the group is planned with pending orders none
    Then every layer is held once and no host is filled beyond 0.92 of its memory

  Scenario Outline: No plan exceeds an upstream's memory: <lost> of the hosts are lost
    Given a model of 80 layers of 1750 MB and the upstreams of one domain, placed
    When <lost> hosts are lost, for each of several seeds, and the group is planned until no orders remain
    Then every layer is held and no order exceeds 0.92 of a host's memory
    And the held and the ordered layers of a host always fit into its memory together

    Examples:
      | lost |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Domains that can't hold the model alone form one group
    Given a model of 80 layers of 1750 MB and the domains x of 45 layers, y of 50 and z of 160
    Then the groups are z and x+y

  Scenario: A domain with memory for two copies holds every layer twice
    Given a model of 80 layers of 1750 MB and the domains z of 300 layers
    When the first placement of the group z is carried out
    Then every layer is held 2 times

  Scenario Outline: A first placement serves as many streams as its hosts allow: <case>
    Given a domain of <hosts> and a model with <requests> concurrent requests for each first stage
    When its first placement is carried out
    Then <copies> copies serve at least <least> streams a second, and no host is filled beyond <fill> of its memory
    And after the loss of any <lost> hosts the rest serves at least <after> streams a second

    Examples:
      | case                     | hosts                    | requests | copies | least | fill | lost | after |
      | places bind              | 3 a100s, 5 l4, 6 t4      | 96       | 1      | 130   | 0.70 | 0    | 130   |
      | memory binds             | 3 a100s, 5 l4, 6 t4      | 1000     | 1      | 170   | 0.70 | 0    | 170   |
      | a copy of the fast hosts | 4 big100, 11 l4, 10 v100 | 96       | 2      | 600   | 0.70 | 1    | 340   |
      | a copy of each kind      | 3 big100, 16 l4, 14 v100 | 96       | 3      | 400   | 0.70 | 1    | 210   |

  Scenario: The rate of a layout depends on the hosts, not on their names or order
    Then for 150 random groups the first placement fits, and its rate doesn't depend on host names
    And its rate doesn't rise if some hosts are slower, and at most by a factor of 1.2 with one host less

  Scenario Outline: A path runs every layer once: <case>
    Given the hosts <hosts>
    Then the best path from domain <domain> is <path>

    Examples:
      | case                        | hosts                                         | domain | path                 |
      | one chain                   | a:x:0-40, b:x:40-80                           | x      | a 0-40, b 40-80      |
      | overlaps are cut anywhere   | a:x:0-50, b:x:30-80                           | x      | one switch           |
      | inside where possible       | a:x:0-40, b:x:40-80, c:y:0-80                 | x      | a 0-40, b 40-80      |
      | inside, though slower       | a:x:0-40, b:x:40-80:slow, c:y:0-80            | x      | a 0-40, b 40-80      |
      | borrowed, once across       | a:x:0-40, c:y:40-80                           | x      | a 0-40, c 40-80      |
      | a leaving one is left out   | a:x:0-40, b:x:40-80:leaving, c:y:40-80        | x      | a 0-40, c 40-80      |
      | nothing whole               | a:x:0-40, b:x:41-80                           | x      | nothing              |

  Scenario: No path over random overlapping hosts lacks or repeats a layer
    Then 400 sets of hosts give paths that run each layer once, or none if a layer is missing

  Scenario Outline: Paths of one domain share as few hosts as possible: <case>
    Given the hosts <hosts>
    Then the paths of domain <domain> are <paths>

    Examples:
      | case                  | hosts                                            | domain | paths |
      | two copies            | a:x:0-40, b:x:40-80, c:x:0-40, d:x:40-80         | x      | a b, c d |
      | a slower second copy  | a:x:0-40, b:x:40-80, c:x:0-40:slow, d:x:40-80:slow | x    | a b, c d |
      | one tail for both     | a:x:0-40, b:x:40-80, c:x:0-40                    | x      | a b, c b |
      | borrowed by both      | a:x:0-40, c:x:0-40, b:y:40-80                    | x      | a b, c b |

  Scenario: No set of paths over random overlapping hosts lacks or repeats a layer
    Then 300 sets of hosts give sets of paths that run each layer once, one from each first stage

  Scenario: Of two processes that claim a plan one sends its orders
    Given two processes that know the same plan
    When both claim the next plan
    Then one has won and the other knows the winner's plan
    And after a claim whose answer is lost no orders may be sent

  Scenario Outline: Of many processes few write a plan: <case>
    Given <count> processes that see the same gap, of which the first <lost> are lost
    When plans reach the other processes after 0.1 seconds
    Then orders to close the gap are sent within <seconds> seconds with at most <claims> claims

    Examples:
      | case               | count | lost | seconds | claims |
      | all there          | 60    | 0    | 0.4     | 2      |
      | the first two lost | 60    | 2    | 0.8     | 2      |
      | most lost          | 60    | 50   | 2.2     | 10     |

  Scenario: Few processes write the first plan although all wait until no more rows arrive
    Given 60 processes that see only empty upstreams
    When plans reach the other processes after 0.1 seconds
    Then orders to close the gap are sent within 2 seconds with at most 2 claims

  Scenario: A process that saw a failure waits for its turn again once a plan was made for it
    Given 60 processes that all saw a failure, and then see another gap
    When plans reach the other processes after 0.25 seconds
    Then orders to close the gap are sent within 0.4 seconds with at most 2 claims

  Scenario: A process that was paused after its claim sends no orders
    Given a process whose claim is answered after 2 seconds
    Then it sends no orders

  Scenario: An order that gets no answer is retried immediately
    Given a process whose first two orders to each upstream get no answer
    Then each upstream accepts an order within 0.1 seconds of the first attempt

  Scenario: An upstream that is busy gets no further order during a cooldown
    Given a process whose orders are answered with a conflict
    Then it sends at most 24 orders in 2.8 seconds

  # Guards against plans that give loading upstreams other layers, since the loads of other domains
  # were not taken into account.
  Scenario Outline: Upstreams get no order while the loads of other domains slow theirs down: <count>
    Given <count> domains of empty upstreams that load from one store
    When processes place the model for 20 seconds
    Then each domain is whole within <seconds> seconds and no order reached a loading upstream

    Examples:
      | count | seconds |
      | 1     | 6       |
      | 2     | 9       |
      | 3     | 12      |

  # Guards against orders beyond the memory of an upstream whose accelerator nobody has described.
  Scenario Outline: An accelerator that isn't described has <room> where <kinds>
    Then with <kinds> an upstream of an undescribed accelerator has room for <layers> of 8 layers

    Examples:
      | kinds                  | room                     | layers |
      | others are described   | no room                  | 0      |
      | none is described      | room for the whole model | 8      |
