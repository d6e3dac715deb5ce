Feature: An accepted text reaches every router and never reverts
  Few routers read the configuration service, and peers exchange changed sections. The
  service may be down, stale or inconsistent.

  Scenario Outline: changes become active everywhere in time
    Given <n_members> routers that read texts, seed <seed>
    Then version 1 is active at every router
    And a change every 4 s for 24 s is active everywhere within 7 s
    And no router has ever activated an older text

    Examples:
      | n_members | seed |
      | 1         | 1    |
      | 5         | 2    |
      | 24        | 3    |

  Scenario: the active text survives an hour without the service
    Given 3 routers that read texts, seed 4
    When the configuration service goes down
    And the fleet that reads texts runs for 3600000 ms
    Then version 1 is active at every router
    When the configuration service recovers
    And a new text is published
    And the fleet that reads texts runs for 7000 ms
    Then version 2 is active at every router

  Scenario: a stale service after a restart does not revert the text
    Given 5 routers that read texts, seed 5
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And the configuration service serves version 1 again
    And the fleet that reads texts runs for 20000 ms
    Then version 2 is active at every router
    And no router has ever activated an older text

  Scenario: a service that alternates between versions does not revert the text
    Given 5 routers that read texts, seed 6
    When a new text is published
    And a new text is published
    And it alternates between version 1 and the latest every second for 20 s
    Then version 3 is active at every router
    And no router has ever activated an older text

  Scenario: a text survives the rolling replacement of all routers without the service
    Given 5 routers that read texts, seed 7
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And the configuration service goes down
    And all routers are replaced one by one, every 6000 ms
    Then version 2 is active at every router

  Scenario: all routers are replaced simultaneously while the service is down
    Given 5 routers that read texts, seed 8
    When the configuration service goes down
    And all routers are replaced simultaneously
    And the fleet that reads texts runs for 5000 ms
    Then version 0 is active at every router
    And a request is refused because no router has a text
    When the configuration service recovers
    And the fleet that reads texts runs for 7000 ms
    Then version 1 is active at every router

  Scenario: an invalid text is refused entirely and the active one is kept
    Given 5 routers that read texts, seed 9
    When an invalid text is published
    And the fleet that reads texts runs for 20000 ms
    Then version 1 is active at every router
    And each router refused version 2 at most once, and one did
    And the refusal of version 2 names a line
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    Then version 3 is active at every router

  Scenario: a rollback is a new version
    Given 5 routers that read texts, seed 10
    When a new text is published
    And the fleet that reads texts runs for 7000 ms
    And a text that equals the first one is published
    And the fleet that reads texts runs for 7000 ms
    Then version 3 is active at every router

  Scenario: a healed partition adopts the higher version and reverts none
    Given 5 routers that read texts, seed 11
    When readers 1,2 are partitioned from the other routers
    And a new text is published
    And the fleet that reads texts runs for 1000 ms
    And the configuration service goes down
    And the partition of the routers that read texts heals
    And the fleet that reads texts runs for 15000 ms
    Then version 2 is active at every router
    And no router has ever activated an older text

  Scenario: the status line names the versions of all known routers
    Given 5 routers that read texts, seed 12
    When a new text is published
    And the fleet that reads texts runs for 12000 ms
    Then each status line names version 2 on all known routers

  Scenario Outline: the number of calls to the service does not grow with the fleet
    Given <n_members> routers that read texts, seed 13
    Then in 60 s the configuration service gets at most 75 calls

    Examples:
      | n_members |
      | 6         |
      | 30        |

  Scenario: a change of one section is sent without the other sections
    Given a store with a text of 500 backend servers
    And a second store that is behind by one change
    When the second store applies the changes
    Then both stores hold the same text
    And the changes are smaller than 2 percent of the full text

  Scenario: changes that do not result in the sender's text are not applied
    Given a store with a text of 500 backend servers
    And a second store that is behind by one change
    When the second store applies the changes with one section damaged
    Then the second store keeps its text and reports a digest mismatch
