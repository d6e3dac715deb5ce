Feature: The retry budget holds for the whole fleet whatever happens to its routers
  In each play, which has a seed, requests come at all routers, and most fail. Routers
  are killed alone or all at once, are cut off from each other, and callers move. What
  requests alone earn are ten retries for each hundred; half of it is asked for.

  Scenario Outline: routers come and go while a service fails
    Given <n> routers that share a slack of <slack> retries in 10 seconds and a ratio of 0.2
    When <rate> requests a second fail for 60 seconds in 20 plays with restarts, cuts and callers that move
    Then in no window of any play repeats are over the budget
    And in each play at least <share> of 100 failed requests are sent again

    Examples:
      | n   | slack | rate | share |
      | 7   | 54    | 12   | 5     |
      | 7   | 54    | 400  | 5     |
      | 9   | 58    | 16   | 5     |
      | 112 | 288   | 90   | 5     |

  Scenario: a service that fails for a while gets most of the repeats that are allowed
    Given 7 routers that share a slack of 54 retries in 10 seconds and a ratio of 0.2
    When after a minute without failures 40 requests a second fail for 10 seconds
    Then at least 0.8 of the retries that the budget allows are made

  Scenario: a router that has met no other divides no part of the slack
    Given a router that has just started and whose settings name 3 others
    Then after 60 seconds without a request its budget allows no retry
    But each tenth of its requests may be sent again

  Scenario: a router that starts beside a part of the fleet knows how large it is
    Given a fleet of 7 routers, of which 4 are cut off from the others
    When one of the 3 others starts again
    Then it divides the slack among 7

  Scenario Outline: routers that were alone meet while a service fails
    Given <n> routers that share a slack of <slack> retries in 10 seconds and a ratio of 0.2
    When all are cut off from each other for 90 seconds and <rate> requests a second fail from 5 seconds before they meet
    Then in no window repeats are over the budget

    Examples:
      | n   | slack | rate |
      | 7   | 54    | 37   |
      | 7   | 54    | 400  |
      | 112 | 288   | 248  |

  Scenario Outline: both sides of a cut fleet start again before a service fails
    Given <n> routers that share a slack of <slack> retries in 10 seconds and a ratio of 0.2
    When they are cut into <islands> islands and all killed, and <rate> requests a second fail 30 seconds later
    Then in no window repeats are over the budget

    Examples:
      | n   | slack | islands | rate |
      | 7   | 54    | 2       | 11   |
      | 7   | 54    | 3       | 11   |
      | 9   | 58    | 2       | 16   |
      | 112 | 288   | 2       | 87   |
      | 195 | 430   | 3       | 116  |

  Scenario: a router that has lost all others keeps its share
    Given a router that has known 7 routers and is alone now
    Then it divides the slack among 7
