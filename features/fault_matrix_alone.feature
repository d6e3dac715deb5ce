Feature: No invariant is violated by any fault, injected once or twice
  Five kernels under load; messages are delayed, reordered, duplicated or lost.

  Scenario: each fault, once and twice
    When each fault is injected into the fleet once and twice
    Then no invariant is violated in at least 80 runs

  Scenario: the checks detect kernels that exceed the load bound
    Given kernels with a load bound of ten times the mean
    When a surge is injected into the fleet
    Then the load invariant is violated

  Scenario: the checks detect kernels that run actions more than once
    Given kernels that route every action without deduplication
    When a surge is injected into the fleet
    Then the at-most-once invariant of actions is violated
