Feature: The soak test injects seeded faults into real router processes
  Scenario: the plan of a seed is always the same and its faults overlap
    When the plans of 50 seeds are built twice
    Then both builds are the same
    And every kind of fault occurs, and some overlap

  Scenario: no guarantee is violated with a few seeds
    When the soak runs seeds 1 to 2 with 3 routers for 7 seconds
    Then no guarantee is violated
    And faults were injected and requests served

  Scenario: the checks find each kind of violation
    Then an action that ran twice is found
    And a refusal of an action that has run is found
    And an answer to another request is found
    And a stream with a missing event is found
    And a request at a server long after its leaving notice is found
    And a request that planned work interrupted is found

  Scenario: a link that has lost bytes delivers nothing later
    When a link loses a chunk of a stream and works again
    Then its reader gets nothing after the loss

  Scenario: concurrent soak runs do not share addresses
    Then 2000 processes with consecutive IDs have distinct networks

  Scenario: invalid values are refused before any process starts
    Then "soak --seeds many" and "soak --routers 0" end with status 2
