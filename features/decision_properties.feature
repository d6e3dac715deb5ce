Feature: Invariants of the decisions hold over hundreds of seeds
  Real kernels with fake engines in virtual time; load reports are up to 2 s old, servers
  restart without notice, the load of teams surges, callers abandon requests.

  Scenario: no admission exceeds its bound and no server is overloaded
    When 120 seeded fleets run with surges, restarts and delayed reports
    Then every dispatch was within the bound that its owner had computed
    And no load was above the capacity of the server
    And no load was above the configured multiple of the highest mean of the last second

  Scenario: a request that was refused as not run is never run
    When 120 seeded fleets run with surges, restarts and delayed reports
    Then no request that was refused as not run has reached a server
    And every request has exactly one outcome

  Scenario: the fair queue loses no entry
    When 200 seeded sequences of pushes, removals and expiries run on a fair queue
    Then every entry left the queue exactly once

  Scenario: the shares of a split fleet never exceed the bound in total
    Then for every split, the shares of all sides are within the bound in total
