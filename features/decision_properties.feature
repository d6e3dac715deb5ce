Feature: Promises of the decisions hold over hundreds of seeds
  Real kernels with engine stand-ins in virtual time; reports are up to 2 s old, servers
  restart without notice, teams surge, requests are given up by their callers.

  Scenario: no admission exceeds its bound and no server is overwhelmed
    When 120 seeded fleets run with surges, flaps and late reports
    Then every dispatch was within the bound that its owner knew
    And no load was above what the server bears
    And no load was above the set multiple of the highest mean of the last second

  Scenario: what was refused as not run has not run
    When 120 seeded fleets run with surges, flaps and late reports
    Then no request that was refused as not run has reached a server
    And every request has exactly one outcome

  Scenario: the queue loses nothing
    When 200 seeded sequences of pushes, removals and expiries run on a fair queue
    Then every entry came out exactly once

  Scenario: shares of a split fleet never add up to more than the bound
    Then the shares of all sides stay within the bound for every split
