Feature: Deployment on the users' platform

  Scenario: The settings template, filled with sample values, gives valid settings
    Then the filled template is valid and contains the given values

  Scenario Outline: A filled template with <wrong> is refused with the name of the setting
    Then the template with <value> for <field> is refused naming <named>

    Examples:
      | wrong             | field               | value     | named                   |
      | no store          | platform.address    |           | [node] platform         |
      | a bad listener    | listen.front        | here:80   | [gateway] listen        |
      | a word for a time | bounds.graceS       | long      | [gateway] stop_grace    |

  # Guards against a bound on how late a change may be known that doesn't come from the platform.
  Scenario Outline: The contact time comes from the environment: <what>
    Then with <value> as the contact time in the environment, the settings <result>

    Examples:
      | what              | value  | result                          |
      | whole number      | 2500   | have a contact time of 2.5      |
      | fraction          | 2500.0 | have a contact time of 2.5      |
      | not told          |        | have a contact time of 3.0      |
      | a word            | soon   | are refused naming the variable |
      | nothing           | 0      | are refused naming the variable |
      | negative          | -5     | are refused naming the variable |
      | no number         | nan    | are refused naming the variable |

  # Guards against changes that are known later than the platform's bounds ask, since ours are longer.
  Scenario Outline: The times after which changes must be known come from the environment: <time>, <value>
    Then with <value> as the <time> time in the environment, the settings have <seconds> seconds

    Examples:
      | time  | value  | seconds |
      | apply | 1500   | 1.5     |
      | apply | -      | 2       |
      | drain | 2500.0 | 2.5     |
      | drain | -      | 2       |

  Scenario Outline: The number of machines that may be lost comes from the environment: <value>
    Then with <value> as the number of lost machines in the environment, the settings <result>

    Examples:
      | value   | result                          |
      | 3       | have 3                          |
      | 0       | have 0                          |
      | nothing | have 2                          |
      | some    | are refused naming the variable |
      | -1      | are refused naming the variable |
      | 9999999 | are refused naming the variable |

  # Guards against a reset of requests that count as read by the platform's bound, not by ours.
  Scenario Outline: The time after which a request counts as read comes from the environment: <what>
    Then with <value> as the time to count as read in the environment, the settings <result>

    Examples:
      | what         | value | result                          |
      | whole number | 150   | have a read slack of 0.15       |
      | fraction     | 250.0 | have a read slack of 0.25       |
      | not told     |       | have a read slack of 0.2        |
      | a word       | soon  | are refused naming the variable |
      | nothing      | 0     | are refused naming the variable |

  Scenario: The deploy file gives the variables of the times from the platform's bounds
    Then the deploy file fills the variables of the times from the platform's bounds

  Scenario: The program reports invalid settings and exits
    Then without settings, with a missing file and with an invalid one the program exits with 78

  Scenario Outline: A signal during the program's imports is handled: <signal>
    Then a program that receives <signal> during its imports exits with <code>

    Examples:
      | signal  | code |
      | SIGHUP  | 78   |
      | SIGTERM | 0    |

  # Guards against losing a SIGTERM during the imports, after which the process serves until killed.
  Scenario: SIGTERM ends the program even if an imported module catches every exception
    Then a program that receives SIGTERM while an import catches every exception exits with 0

  Scenario: Names of the platform's protocol are used in its package only
    Then no module outside the platform package contains a name of the platform's protocol

  Scenario: The deploy file installs what the project declares
    Then each requirement of the deploy file is declared by the project with the same bounds

  Scenario: Every day file of the project is valid for any deployment
    Then the folder of days contains day files, and all of them are valid

  Scenario Outline: A day file with <wrong> is invalid
    Then a day file in which <old> is replaced by <new> has the problem: <problem>

    Examples:
      | wrong                      | old            | new             | problem                  |
      | no TOML                    | plan = [       | plan = [[       | not TOML                 |
      | another name               | name = "day"   | name = "days"   | is not the file's        |
      | no promise                 | lost: served   | lost, served    | its first line           |
      | two comments               | seed = 7       | seed = 7 # luck | its first line           |
      | a seed that is no number   | seed = 7       | seed = "7"      | field seed is no int     |
      | a field left out           | slot = "a"     | # slot          | slot is missing          |
      | a field of its own         | slot = "a"     | slots = "a"     | slots is missing         |
      | an unknown kind            | srv_crash      | srv_crush       | 'srv_crush' is unknown   |
      | an unknown variant         | "dark gone"    | "dark lost"     | how 'lost' is unknown    |
      | a variant of another kind  | "dark gone"    | "unframed"      | how 'unframed' is        |
      | an unknown field           | for_s          | for_ms          | field for_ms is unknown  |
      | planned work among faults  | srv_crash      | release         | stands in the wrong part |
      | a fault among planned work | hup            | burst           | stands in the wrong part |
      | a service's own name       | @s0            | records         | is a deployment's own    |
      | a zone's own name          | @z0            | hall-a          | is a deployment's own    |
      | a class's own name         | @c0            | lookup          | is a deployment's own    |
      | a service for a zone       | @z0            | @s0             | is a deployment's own    |
      | no time                    | at = 6.0       | x = 6.0         | at is missing            |
      | a time after the day's end | at = 6.0       | at = 60.0       | is later than            |
      | a share above all          | share = 0.5    | share = 1.5     | is more than all         |
      | a length that is a word    | for_s = 2.0    | for_s = "2"     | is no number above 0     |
      | nothing that happens       | all its lines  | none            | nothing happens          |
