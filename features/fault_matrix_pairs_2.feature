Feature: Every pair of faults breaks no promise, part 2 of 3
  Five kernels under load; messages come late, crossed, twice or never.

  Scenario: every third pair of faults, from pair 2 on
    When every third pair of faults comes over the fleet, from pair 2 on
    Then no promise is broken in at least 40 runs
