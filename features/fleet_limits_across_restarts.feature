Feature: Limits of the whole fleet hold whatever happens to its routers
  A limit on the requests to a server is divided among the routers. One that is killed
  and starts has its share in the same window again, and those that cannot reach each
  other must not divide the whole limit on either side.

  Scenario Outline: a cut fleet meets a cold server
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When they have been cut into <islands> islands for <s> seconds when it starts
    And the cut heals while it is cold
    Then in no window of any play it gets more than it can handle
    And in the last 2 seconds of each play it gets a part of it

    Examples:
      | n   | rate | islands | s  |
      | 7   | 13   | 2       | 1  |
      | 7   | 13   | 2       | 10 |
      | 7   | 13   | 3       | 10 |
      | 9   | 13   | 3       | 10 |
      | 112 | 12   | 2       | 10 |
      | 112 | 12   | 3       | 10 |
      | 195 | 10   | 2       | 10 |

  Scenario Outline: a fleet that has been cut for longer than removed routers are remembered
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When they have been cut into 2 islands for 90 seconds when it starts
    Then in no window of any play it gets more than it can handle

    Examples:
      | n   | rate |
      | 7   | 13   |
      | 112 | 12   |

  Scenario Outline: one side of a cut fleet starts again
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When they have been cut into 2 islands for 10 seconds when it starts
    And all routers of one of the islands are started again while it is cold
    Then in no window of any play it gets more than it can handle

    Examples:
      | n   | rate |
      | 7   | 13   |
      | 112 | 12   |

  Scenario Outline: one router after the other starts again within a second
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When each second another one is killed and starts <ms> ms later
    Then in no window of any play it gets more than it can handle
    And in the last 2 seconds of each play it gets a part of it

    Examples:
      | n   | rate | ms  |
      | 7   | 13   | 0   |
      | 7   | 13   | 300 |
      | 9   | 13   | 100 |
      | 112 | 12   | 100 |

  Scenario Outline: all routers start again within a second
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When all are killed <times> times within a second and start <ms> ms later
    Then in no window of any play it gets more than it can handle
    And in the last 2 seconds of each play it gets a part of it

    Examples:
      | n   | rate | times | ms  |
      | 7   | 13   | 1     | 100 |
      | 7   | 13   | 1     | 500 |
      | 7   | 13   | 3     | 100 |
      | 9   | 13   | 1     | 100 |
      | 112 | 12   | 1     | 100 |
      | 112 | 12   | 3     | 100 |
      | 195 | 10   | 1     | 100 |

  Scenario Outline: half of the routers are away for a while
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When a half of them is killed for 6 seconds and starts again
    Then in no window of any play it gets more than it can handle
    And in the last 2 seconds of each play it gets a part of it

    Examples:
      | n   | rate |
      | 7   | 13   |
      | 112 | 12   |

  Scenario Outline: routers are killed, started, cut off and in touch again at random
    Given <n> routers and a cold server that can handle <rate> requests a second, with requests for it at all of them
    When for 30 seconds routers are killed, started, cut off and in touch again
    Then in no window of any play it gets more than it can handle

    Examples:
      | n   | rate |
      | 7   | 13   |
      | 9   | 13   |
      | 112 | 12   |

  Scenario Outline: a cut fleet meets a server that states a limit
    Given <n> routers and a server that states a limit of <rate> requests a second, with requests for it at all of them
    When they have been cut into 2 islands for 10 seconds when it starts
    Then in no window of any play it gets more than it can handle

    Examples:
      | n   | rate |
      | 7   | 5    |
      | 112 | 5    |

  Scenario Outline: all routers start again while a server states a limit
    Given <n> routers and a server that states a limit of <rate> requests a second, with requests for it at all of them
    When all are killed 1 times within a second and start 100 ms later
    Then in no window of any play it gets more than it can handle

    Examples:
      | n   | rate |
      | 7   | 5    |
      | 112 | 5    |
