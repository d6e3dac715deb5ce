Feature: Routers of a large fleet know at which version a stream began
  Beyond 12 routers each has links to a few others only, and opens one to the routers that
  keep a stream's record.

  Scenario: streams are taken up anywhere in their data centre
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 16 routers in two data centres that know each other
    When 32 callers begin checks at all routers and break them off after 2 events
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at other routers of the data centre
    Then no stream has events of two versions
    And at least 30 of these streams are complete

  Scenario: streams are taken up in another data centre
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 16 routers in two data centres that know each other
    When 32 callers begin checks at all routers and break them off after 2 events
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at routers of the other data centre
    Then no stream has events of two versions
    And at least 30 of these streams are complete

  Scenario: a stream is told to two routers in few bytes
    Given 330 routers in 6 data centres whose messages are counted
    When each router begins 24 streams a second while two versions serve
    Then each router sends and receives at most 5000 bytes a second for it
    And each router sends to routers of its own data centre only

  Scenario: routers end with the first events of their streams
    # Guards against conclusions from the absence of records that were lost with a router.
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
    And 13 routers in one data centre that know each other
    And they have known the servers for 10500 ms
    And news of streams takes 200 ms, and is lost if its router ends meanwhile
    When engines "e-3" and "e-4" of version "v2" are listed for 300 ms
    And 48 callers begin checks at 4 routers, which end when each has had 1 event
    And these callers resume their checks at the other routers
    Then no stream has events of two versions over its tries
    And at least 90 % of the streams that began at "v1" are complete
