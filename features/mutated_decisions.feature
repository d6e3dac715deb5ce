Feature: The replay of a trace detects mutated decisions
  Each trace replays without differences with the real decisions and with differences
  with a mutated one.

  Scenario: the load bound is off by one
    Given the scenario "abay_load_bound" is recorded
    Then its replay has no differences
    And its replay differs in "highest load of engine-1" when the load bound is off by one

  Scenario: a cold engine is treated as a warm one
    Given the scenario "abay_cold_start" is recorded
    Then its replay has no differences
    And its replay differs in "highest load of engine-1" when the cold-start ramp is skipped

  Scenario: an action is retried
    Given the scenario "abay_issuance_connection_lost" is recorded
    Then its replay has no differences
    And its replay differs in "dispatches of" when actions are retried

  Scenario: an older text is applied
    Given a recording in which an old text is served again
    Then its replay has no differences
    And its replay differs in "text version of" when lower versions are accepted

  Scenario: replays and recordings are deterministic
    Given the scenario "abay_issuance_sent_twice" is recorded
    Then two replays give the same result
    And a second recording gives the same bytes
