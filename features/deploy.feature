Feature: How it is run on the users' platform

  Scenario: The settings template, filled with sample values, gives settings without a problem
    Then the filled template is right and holds the values given

  Scenario Outline: A filled template with <wrong> names the place and the remedy
    Then the template with <value> for <field> is refused naming <named>

    Examples:
      | wrong             | field               | value     | named                   |
      | no store          | platform.address    |           | [node] platform         |
      | a bad listener    | listen.front        | here:80   | [gateway] listen        |
      | a word for a time | bounds.graceS       | long      | [gateway] stop_grace    |

  Scenario: The program says what is wrong with its settings, and ends
    Then without settings, with a missing file and with a wrong one the program exits with 78

  Scenario Outline: A signal that comes while the program still loads: <signal>
    Then a program that gets <signal> while it loads exits with <code>

    Examples:
      | signal  | code |
      | SIGHUP  | 78   |
      | SIGTERM | 0    |

  Scenario: The platform's names stay in its folder
    Then no module outside the platform folder holds a name of the platform's

  Scenario: What the deploy file builds is what the project declares
    Then each requirement of the deploy file is declared by the project with the same bounds
