Feature: A router runs as a separate process
  It is started from the command line and stopped by signals.

  Scenario: SIGTERM stops it gracefully
    Given a fake platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When it gets the signal SIGTERM
    Then it ends with status 0
    And its log contains the events "process_started" and "process_stopped"
    And each line of its log is a JSON object without the fleet key

  Scenario: an open answer is finished before the process stops
    Given a fake platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When a client streams a long chat and the process gets SIGTERM meanwhile
    Then the client has the complete answer
    And it ends with status 0

  Scenario: a second signal ends it immediately
    Given a fake platform on loopback
    When the command serve runs with valid settings
    Then the readiness page becomes ready
    When a client streams an endless chat and the process gets SIGTERM twice
    Then it ends with status 1

  Scenario: invalid settings are rejected with all faults
    When the command serve runs with the settings "[process]\nlog_levle = INFO\n"
    Then it ends with status 2
    And its standard error contains "unknown_key"
    And its standard error contains "missing_key"
    And its standard error contains no traceback

  Scenario: an address in use is reported without a traceback
    Given a fake platform on loopback
    When the command serve runs with a caller address that is in use
    Then it ends with status 2
    And its standard error contains "address_not_free"
    And its standard error contains no traceback

  Scenario: the demo succeeds
    When the command demo runs
    Then it ends with status 0
    And its standard output contains "All checks passed."
