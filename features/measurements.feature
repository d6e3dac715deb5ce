Feature: The pages of measurements and capacity are what the command computes
  Figures on the pages come from stored runs only.

  Scenario: the page of measurements equals what the command writes
    Then docs/MEASUREMENTS.md equals what is computed from the stored figures

  Scenario: the page of capacity equals what the command writes
    Then docs/CAPACITY.md equals what is computed from the stored figures

  Scenario: plots are the same bytes each time
    Then two plots of the stored figures are equal

  Scenario: a slope that is not stored is said to be not measured
    When the capacity is computed without any stored figure
    Then the entry's processor time is "**not measured**"
    And it still says that a node owns 33.3 servers

  Scenario: a slope is multiplied by the target's size
    # 200 microseconds for each of 7,800 / 330 = 23.6 requests a second.
    When the capacity is computed with 200 microseconds for each request of an entry
    Then the entry's processor time is "0.473 % of a core"

  Scenario: a module's figures replace its own only
    Given stored figures of modules "bench_a" and "bench_b"
    When new figures of "bench_a" are stored
    Then the figures of "bench_b" are still there
    And stored figures are the same after they were written and read
