@alone
Feature: Callers are served when the scheduling of slots fails halfway
  Each scenario has one failure. Callers of the routers that are left are served at least
  as on the same load without the scheduling, no action runs twice, no request reaches
  more servers than its route allows, and nobody waits longer than an eighth of the
  target for a scheduler that does not answer.

  Scenario Outline: the router that schedules is <failure>
    Given 2 places to wait at each of 2 servers of half the speed
    And 2 gateways that schedule, and a process that ranks before them
    When 55 requests a second come for 8 s, and after 2 s the process is <failure>
    Then the callers are served at least as without the scheduling
    And no action has run twice, and no request has reached too many servers
    And nobody has waited for an answer of the scheduler longer than an eighth of the target
    And another router schedules in the end
    And each slot that a router got has been released

    Examples:
      | failure     |
      | killed      |
      | frozen      |
      | stopped     |

  Scenario Outline: <failure>
    Given 2 places to wait at each of 2 servers of half the speed
    And 3 gateways that schedule
    When 55 requests a second come for 8 s, and after 2 s <failure>
    Then the callers are served at least as without the scheduling
    And no action has run twice, and no request has reached too many servers
    And nobody has waited for an answer of the scheduler longer than an eighth of the target
    And each slot that a router got has been released

    Examples:
      | failure                                         |
      | the scheduler is cut off from the others        |
      | two routers schedule in a split view            |
      | each tenth assignment is lost                   |
      | the releases of 300 ms are lost                 |
      | each tenth assignment comes 300 ms late         |
      | assignments come after one of the servers left  |
      | the store is away                               |
      | all servers are replaced one after the other    |

  Scenario: all routers restart at once
    Given 2 places to wait at each of 2 servers of half the speed
    And 3 gateways that schedule
    When 55 requests a second come for 8 s, and after 2 s all routers restart
    Then from 3 s later on the most urgent are served at least as without the scheduling
    And servers reject less than 0.05 of their arrivals
    And no action has run twice, and no request has reached too many servers
    And each slot that a router got has been released

  Scenario: a router of the former build is beside them
    Given 2 places to wait at each of 2 servers of half the speed
    And 2 gateways that schedule
    And a router of the former build that joins them
    When 55 requests a second come for 8 s through all of them
    Then the callers are served at least as without the scheduling
    And no action has run twice, and no request has reached too many servers
    And no router has asked for a slot
