Feature: Generated pages of measurements and capacity
  Their values come from stored runs only.

  Scenario: the page of measurements is up to date
    Then docs/MEASUREMENTS.md equals the page rendered from the stored measurements

  Scenario: the page of capacity is up to date
    Then docs/CAPACITY.md equals the page rendered from the stored measurements

  Scenario: plots are deterministic
    Then two renderings of the plots are equal

  Scenario: a value without a stored measurement is shown as not measured
    When the capacity is computed without stored measurements
    Then the entry's processor time is "**not measured**"
    And a node owns 33.3 servers

  Scenario: a measured cost is scaled to the target size
    # 200 microseconds for each of 7,800 / 330 = 23.6 requests per second.
    When the capacity is computed with 200 microseconds per request of an entry
    Then the entry's processor time is "0.473 % of a core"

  Scenario: new measurements replace those of the same module only
    Given stored measurements of modules "bench_a" and "bench_b"
    When new measurements of "bench_a" are stored
    Then the measurement of "bench_b" is retained
    And stored measurements are unchanged after writing and reading

  Scenario: the table of a sweep is stored and shown with its growth
    Given the output of a sweep at 30, 100 and 300 routers
    When it is read for deployment "one"
    Then the busiest router's memory is 30.7, 33.6 and 44.7 MB, and 45.4 MB at 332
    And the page shows it with its power 0.16

  Scenario Outline: output without a whole table of a sweep is refused
    When the output "<output>" of a sweep is read
    Then it is refused because of "<reason>"

    Examples:
      | output                                      | reason                 |
      | 3 days, 1 at a time                         | no table               |
      | middle / busiest or longest, by own machines | no line with the numbers |
