Feature: Each fault, alone and twice, breaks no promise
  Five kernels under load; messages come late, crossed, twice or never.

  Scenario: each fault alone and twice
    When each fault comes over the fleet alone and twice
    Then no promise is broken in at least 80 runs

  Scenario: the checks find kernels that break the load bound
    Given kernels whose bound on the load is ten times the mean
    When a surge comes over the fleet
    Then the promise on load is broken

  Scenario: the checks find kernels that run actions again
    Given kernels that pass every action on to routing
    When a surge comes over the fleet
    Then the promise to run an action at most once is broken
