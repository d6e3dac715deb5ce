Feature: The fault soak plays seeded faults against real router processes
  Scenario: a plan is the same for the same seed and overlaps
    When the plans of 50 seeds are made twice
    Then both are the same
    And every kind of fault comes, and some come in series

  Scenario: a few seeds hold every promise
    When the soak plays seeds 1 to 2 with 3 routers for 7 seconds
    Then no promise is broken
    And faults were injected and requests served

  Scenario: the checks find what is broken
    Then an action that ran twice is found
    And a refusal of an action that has run is found
    And an answer to another request is found
    And a stream with a missing event is found
    And a request at a server long after its notice is found
    And a request that planned work cut off is found

  Scenario: soaks that run at the same time do not share addresses
    Then 2000 processes with neighbouring numbers have networks of their own

  Scenario: bad values are refused before anything starts
    Then "soak --seeds many" and "soak --routers 0" end with status 2
