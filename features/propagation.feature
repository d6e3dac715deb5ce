Feature: An accepted text reaches every router and never reverts
  Few readers, changes by section between peers, and the platform's service at its worst.

  Scenario Outline: changes are in force everywhere in time
    Given <n_members> routers that read texts, seed <seed>
    Then version 1 is in force at every router
    And a change every 4 s for 24 s is in force everywhere within 7 s
    And no router has ever put an older text in force

    Examples:
      | n_members | seed |
      | 1         | 1    |
      | 5         | 2    |
      | 24        | 3    |

  Scenario: the service is down for an hour
    Given 3 routers that read texts, seed 4
    When the configuration service goes down
    And the fleet that reads texts runs for 3600000 ms
    Then version 1 is in force at every router
    When the configuration service comes back
    And a new text is published
    And the fleet that reads texts runs for 7000 ms
    Then version 2 is in force at every router

  Scenario: the service is stale after a restart
    Given 5 routers that read texts, seed 5
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And the configuration service serves version 1 again
    And the fleet that reads texts runs for 20000 ms
    Then version 2 is in force at every router
    And no router has ever put an older text in force

  Scenario: the service flips between versions
    Given 5 routers that read texts, seed 6
    When a new text is published
    And a new text is published
    And it serves by turns version 1 and the latest, every second for 20 s
    Then version 3 is in force at every router
    And no router has ever put an older text in force

  Scenario: routers are replaced one by one while the service is down
    Given 5 routers that read texts, seed 7
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And the configuration service goes down
    And all routers are replaced one by one, every 6000 ms
    Then version 2 is in force at every router

  Scenario: all routers are replaced at once while the service is down
    Given 5 routers that read texts, seed 8
    When the configuration service goes down
    And all routers are replaced at once
    And the fleet that reads texts runs for 5000 ms
    Then version 0 is in force at every router
    And a request is refused because no router has a text
    When the configuration service comes back
    And the fleet that reads texts runs for 7000 ms
    Then version 1 is in force at every router

  Scenario: an invalid text is refused whole and the last one stays
    Given 5 routers that read texts, seed 9
    When an invalid text is published
    And the fleet that reads texts runs for 20000 ms
    Then version 1 is in force at every router
    And each router refused version 2 at most once, and one did
    And the refusal of version 2 names a line
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    Then version 3 is in force at every router

  Scenario: a rollback is a new version
    Given 5 routers that read texts, seed 10
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And a text that equals the first one is published
    And the fleet that reads texts runs for 7000 ms
    Then version 3 is in force at every router

  Scenario: a part that was cut off takes the higher version and lowers none
    Given 5 routers that read texts, seed 11
    When readers 1,2 are cut off from the other routers
    And a new text is published
    And the fleet that reads texts runs for 1000 ms
    And the configuration service goes down
    And the routers that read texts are joined again
    And the fleet that reads texts runs for 15000 ms
    Then version 2 is in force at every router
    And no router has ever put an older text in force

  Scenario: the status line names the versions of all known routers
    Given 5 routers that read texts, seed 12
    When a new text is published
    And the fleet that reads texts runs for 12000 ms
    Then each status line names version 2 on all known routers

  Scenario Outline: calls on the service do not grow with the fleet
    Given <n_members> routers that read texts, seed 13
    Then in 60 s the configuration service gets at most 75 calls

    Examples:
      | n_members |
      | 6         |
      | 30        |

  Scenario: a change of one section travels alone
    Given a store with a text of 500 backend servers
    And a second store that is behind by one change
    When the second store takes the changes
    Then both stores hold the same text
    And the changes take less than 2 percent of the whole text

  Scenario: changes that do not lead to the sender's text are not taken
    Given a store with a text of 500 backend servers
    And a second store that is behind by one change
    When the second store takes the changes with one section damaged
    Then the second store keeps its text and says that the digest differs
