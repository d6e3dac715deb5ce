Feature: The command line reports invalid arguments with one line
  Nothing is started before all arguments have been validated.

  Scenario Outline: invalid arguments give one line on standard error and status 2
    When damaskrill is called with "<words>"
    Then it ends with status 2, nothing on standard output and one line that contains "<part>"

    Examples:
      | words                               | part                        |
      |                                     | a command is required       |
      | sevre                               | unknown command 'sevre'     |
      | check                               | FILE is missing             |
      | check one two                       | unexpected argument 'two'   |
      | check one --verbose                 | unknown flag '--verbose'    |
      | check -x one                        | unknown flag '-x'           |
      | check /nonexistent                  | unreadable_file             |
      | check /                             | unreadable_file             |
      | replay                              | at least one argument       |
      | replay --trcae x                    | unknown flag '--trcae'      |
      | explain r1                          | '--log' is missing          |
      | explain r1 --log                    | '--log' requires a value    |
      | explain r1 --log=a --log=b          | '--log' is given more than once |
      | explain r1 --log /nonexistent       | /nonexistent                |
      | report --log /nonexistent           | /nonexistent                |
      | report --log a --from html          | unknown flag '--from'       |
      | version 5                           | unexpected argument '5'     |
      | version -- --interactive            | unknown flag '--'           |

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

  Scenario: a flag of several values takes all arguments up to the next flag
    Given two empty log files
    When damaskrill explains request "007" from both
    Then it ends with status 1 and reports that the logs do not contain "007"

  Scenario: a valid text is accepted
    Given a file with the minimal text
    When the file is checked
    Then it ends with status 0 and prints "valid operators' text"

  Scenario: valid settings are accepted
    Given a file with the minimal settings
    When the file is checked
    Then it ends with status 0 and prints "valid settings"

  Scenario: every fault of a text is reported on a separate line
    Given a file with the lines "[service a]|colour = blue|kind = robot"
    When the file is checked
    Then it ends with status 2 and exactly these faults on standard error
      | line | code        |
      | 2    | unknown_key |
      | 3    | wrong_value |

  Scenario: every fault of settings is reported on a separate line
    Given a file with the lines "[process]|data_centre = ?|[peers]|peer_address = 10.0.0.1:7|fleet_key = short"
    When the file is checked
    Then it ends with status 2 and exactly these faults on standard error
      | line | code            |
      | 0    | missing_section |
      | 0    | missing_section |
      | 2    | wrong_value     |
      | 5    | wrong_value     |

  Scenario: only the modules that a command requires are imported
    When damaskrill's version is printed by a fresh process
    Then neither twisted nor websockets was imported
