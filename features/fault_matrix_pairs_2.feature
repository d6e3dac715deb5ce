Feature: No invariant is violated by any pair of faults, part 2 of 3
  Five kernels under load; messages are delayed, reordered, duplicated or lost.

  Scenario: every third pair of faults, from pair 2 on
    When every third pair of faults is injected into the fleet, from pair 2 on
    Then no invariant is violated in at least 40 runs
