Feature: A mutated decision makes a trace fail
  Each trace holds for the product's decisions and differs for the mutated ones.

  Scenario: the load bound off by one
    Given the scenario "abay_load_bound" is recorded
    Then its replay holds
    And its replay differs in "highest load of engine-1" when the load bound is off by one

  Scenario: an engine in a cold start is taken for a warm one
    Given the scenario "abay_cold_start" is recorded
    Then its replay holds
    And its replay differs in "highest load of engine-1" when the ramp is left out

  Scenario: a retry of an action
    Given the scenario "abay_issuance_connection_lost" is recorded
    Then its replay holds
    And its replay differs in "dispatches of" when actions are retried

  Scenario: a text that reverts
    Given a recording in which an old text is served again
    Then its replay holds
    And its replay differs in "text version of" when lower versions are accepted

  Scenario: a recorded scenario replays the same each time
    Given the scenario "abay_issuance_sent_twice" is recorded
    Then two replays give the same result
    And a second recording gives the same bytes
