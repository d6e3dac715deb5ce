Feature: Repeats of a failing service stay within the budget while routers come and go
  All servers of the service answer each read with 500. A process that starts has no
  history, and those that remain count fewer routers. What ended ones have spent still
  counts.

  Scenario Outline: routers are disturbed while a service fails
    Given 7 router processes before a service that fails each read
    When callers send <rate> reads a second for 14 seconds and <disturbance>
    Then in no window of 10 s repeats are over 0.2 x the requests + 54

    Examples:
      | rate | disturbance                                         |
      | 40   | nothing happens to the routers                      |
      | 40   | one router after the other is killed each 0.7 s     |
      | 18   | one router after the other is killed each 0.7 s     |
      | 40   | all routers are killed each 5 s                     |
      | 40   | one router after the other is stopped each 0.7 s    |
      | 40   | one router after the other is paused each 0.7 s     |
