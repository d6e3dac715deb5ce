Feature: The command line answers mistakes with one plain line
  Nothing is started before all arguments are known to be right.

  Scenario Outline: a mistake gives one line on standard error and status 2
    When damaskrill is called with "<words>"
    Then it ends with status 2, nothing on standard output and one line that holds "<part>"

    Examples:
      | words                               | part                        |
      |                                     | name a command              |
      | sevre                               | there is no command 'sevre' |
      | check                               | FILE is missing             |
      | check one two                       | 'two' is one too many       |
      | check one --verbose                 | there is no flag '--verbose' |
      | check -x one                        | there is no flag '-x'       |
      | check /nonexistent                  | unreadable_file             |
      | check /                             | unreadable_file             |
      | replay                              | at least one argument       |
      | replay --trcae x                    | there is no flag '--trcae'  |
      | explain r1                          | '--log' is missing          |
      | explain r1 --log                    | '--log' needs a value       |
      | explain r1 --log=a --log=b          | stands twice                |
      | explain r1 --log /nonexistent       | /nonexistent                |
      | report --log /nonexistent           | /nonexistent                |
      | report --log a --from html          | there is no flag '--from'   |
      | version 5                           | '5' is one too many         |
      | version -- --interactive            | there is no flag '--'       |

  Scenario: the version is printed
    When damaskrill is called with "version"
    Then it ends with status 0 and prints "damaskrill 0.1.0 (from source)"

  Scenario Outline: help is printed without a pager
    When damaskrill is called with "<words>"
    Then it ends with status 0 and prints "<part>"

    Examples:
      | words          | part                                             |
      | --help         | usage: damaskrill COMMAND                        |
      | report --help  | usage: damaskrill report --log LOG... [--text TEXT] |

  Scenario: words after a flag that takes several belong to it
    Given two empty log files
    When damaskrill explains request "007" from both
    Then it ends with status 1 and says that the logs do not hold "007"

  Scenario: a valid text is accepted
    Given a file with the minimal text
    When the file is checked
    Then it ends with status 0 and prints "valid operators' text"

  Scenario: valid settings are accepted
    Given a file with the minimal settings
    When the file is checked
    Then it ends with status 0 and prints "valid settings"

  Scenario: every fault of a text stands on a line of its own
    Given a file with the lines "[service a]|colour = blue|kind = robot"
    When the file is checked
    Then it ends with status 2 and exactly these faults on standard error
      | line | code        |
      | 2    | unknown_key |
      | 3    | wrong_value |

  Scenario: every fault of settings stands on a line of its own
    Given a file with the lines "[process]|data_centre = ?|[peers]|peer_address = 10.0.0.1:7|fleet_key = short"
    When the file is checked
    Then it ends with status 2 and exactly these faults on standard error
      | line | code            |
      | 0    | missing_section |
      | 0    | missing_section |
      | 2    | wrong_value     |
      | 5    | wrong_value     |

  Scenario: the program starts without importing what the command does not need
    When damaskrill's version is printed by a fresh process
    Then neither twisted nor websockets was imported
