Feature: No invariant is violated by any pair of faults, part 3 of 3
  Five kernels under load; messages are delayed, reordered, duplicated or lost.

  Scenario: every third pair of faults, from pair 3 on
    When every third pair of faults is injected into the fleet, from pair 3 on
    Then no invariant is violated in at least 40 runs
