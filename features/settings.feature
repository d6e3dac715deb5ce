Feature: The settings of a process are validated before it starts
  All faults are reported together, each with its line, a code and a sentence.

  Scenario: a minimal settings file gives the defaults
    Given a settings file with only the required keys
    When the settings are read
    Then the data centre is "bole" and the other settings have their defaults

  Scenario: units may follow a value
    Given a settings file with only the required keys
    And in section "callers" the setting "max_body_bytes" is "2 MiB"
    And in section "callers" the setting "header_timeout_ms" is "3 s"
    When the settings are read
    Then the setting "max_body_bytes" is 2097152
    And the setting "header_timeout_ms" is 3000

  Scenario: all faults are reported together
    Given the settings file
      """
      stray = 1
      [process]
      data_centre = bole
      data_centre = megenagna
      [callers]
      caller_address = localhost:80
      max_body_bytes = 5 s
      max_connections = 0
      colour = blue
      [process]
      [engine]
      [peers]
      peer_address = 10.0.0.1:7000
      fleet_key = short
      nonsense
      """
    When the settings are read
    Then the faults are
      | line | code                |
      | 0    | missing_section     |
      | 1    | key_outside_section |
      | 4    | duplicate_key       |
      | 6    | wrong_value         |
      | 7    | wrong_unit          |
      | 8    | out_of_range        |
      | 9    | unknown_key         |
      | 10   | duplicate_section   |
      | 11   | unknown_section     |
      | 14   | wrong_value         |
      | 15   | invalid_line        |
    And no fault contains "short"

  Scenario: an unreadable file raises a typed error
    When the settings file "/nonexistent/settings.ini" is read
    Then the settings error's code is "unreadable_file"

  Scenario: the fleet key is not printed
    Given a settings file with only the required keys
    When the settings are read
    Then their printed form does not contain the fleet key

  Scenario: conflicting values are rejected
    Given a settings file with only the required keys
    And in section "callers" the setting "max_body_bytes" is "64 MiB"
    When the settings are read
    Then the faults are
      | line | code               |
      | 0    | conflicting_values |
