Feature: A router runs as a process of its own
  The command line starts it, signals stop it.

  Scenario: SIGTERM stops it gracefully
    Given the stand-ins of a platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When it gets the signal SIGTERM
    Then it ends with status 0
    And its log holds the events "process_started" and "process_stopped"
    And each line of its log is a JSON object without the fleet key

  Scenario: a running answer is finished before the process stops
    Given the stand-ins of a platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When a client streams a long chat and the process gets SIGTERM meanwhile
    Then the client has the whole answer
    And it ends with status 0

  Scenario: a second signal ends it at once
    Given the stand-ins of a platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When a client streams an endless chat and the process gets SIGTERM twice
    Then it ends with status 1

  Scenario: invalid settings are refused with all faults
    When the command serve runs with the settings "[process]\nlog_levle = INFO\n"
    Then it ends with status 2
    And its standard error holds "unknown_key"
    And its standard error holds "missing_key"
    And its standard error holds no traceback

  Scenario: an address that is taken is said plainly
    Given the stand-ins of a platform on loopback
    When the command serve runs with a caller address that is taken
    Then it ends with status 2
    And its standard error holds "address_not_free"
    And its standard error holds no traceback

  Scenario: the demo ends as told
    When the command demo runs
    Then it ends with status 0
    And its standard output holds "Everything went as told."
