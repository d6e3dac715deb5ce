Feature: The absence of a record counts only if its router was told of all streams
  Scenario: streams that began beside two versions go on after most routers were killed
    # Guards against streams of two versions whose three records were lost together.
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
    And 7 gateways that know each other
    And they have known the servers for 10500 ms
    When an engine "e-3" of version "v1.1" comes
    And an engine "e-4" of version "v1.1" comes
    And 84 callers break their checks off at all routers after 2 events
    And 4 of the routers are killed
    And these callers resume their checks at all routers
    Then no stream has events of two versions
    And at least 76 of these streams are complete

  Scenario: routers that are restarted one after the other take over the records
    # Guards against streams that are refused or mixed once all keepers were replaced.
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 4 gateways that know each other
    When 32 callers break their checks off at all routers after 2 events
    And the routers are replaced one after the other
    And these callers resume their checks at all routers
    Then no stream has events of two versions
    And at least 29 of these streams are complete

  Scenario Outline: a conclusion from the absence of a record needs a router of each group
    When the groups of routers answer with <evidence>
    Then the chosen origin is <origin>

    Examples:
      | evidence                                                | origin |
      | absent 1 after 120                                      | 1      |
      | absent 1 after 99                                       | none   |
      | absent 1 after 120; unknown                             | none   |
      | absent 1 after 120; absent 1 after 150                  | 1      |
      | absent 1 after 120; absent 1 after 99                   | none   |
      | absent 1 after 120; unknown, absent 1 after 150         | 1      |
      | absent 1 after 120; sole 2 after 150                    | 2      |
      | absent 1 after 120; recorded 2 after 5                  | 2      |
      | absent 1 after 120; former build 1 after 900            | none   |

  Scenario: a router of a large fleet knows for which records it is always told
    Given 40 routers in 2 data centres, of which 20 have ended
    Then each router is told of a record that it would have kept beside all of them
    And no other router concludes anything from its absence

  Scenario Outline: a router concludes nothing while others may not be able to tell it
    Given 4 routers, of which one <state>
    Then a router <concludes> from the absence of a record

    Examples:
      | state                     | concludes         |
      | is as the others          | may conclude      |
      | is of the former build    | does not conclude |
      | has been lost             | does not conclude |
      | is not linked             | does not conclude |

  Scenario Outline: which servers have gone since a second version came
    Given servers of the versions "v1" are known from 0 ms on
    And servers of the versions "v1 v2" are known from 30000 ms on
    And servers of the versions "<then>" are known from 31000 ms on
    Then servers of a second version <state> lately

    Examples:
      | then     | state              |
      | v1 v2    | have not been lost |
      | v1 v2 v3 | have not been lost |
      | v1       | have been lost     |
      | v2       | have not been lost |

  Scenario: a router that has just started does not know which servers have gone
    Given servers of the versions "v1 v2" are known from 0 ms on
    Then servers of a second version have been lost lately

  Scenario Outline: a record is sent with the request if all routers say so
    Given 4 routers, of which one <state>
    Then the table says that records are sent <how>

    Examples:
      | state                                        | how               |
      | is as the others                             | with the requests |
      | records streams with their first event       | later by some     |
      | did so and has ended                         | later by some     |
