Feature: Routers of two builds are one fleet during an upgrade
  Scenario: the former build reads each kind of frame of this one, and the other way round
    Then every kind of frame is the same after the former build has read and sent it
    And kinds of frames that the former build lacks are ignored by it

  Scenario: fields, reports and kinds of frames of a later build are ignored
    When a later build sends each kind of frame with further fields
    Then each is read as if they were not there
    And a frame of a new kind is ignored
    And reports that a peer leaves out are empty

  Scenario: routers of both builds know each other, the versions and the streams
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 2 gateways that know each other
    And 2 routers of the former build that join them
    Then all 4 routers are linked to the other 3
    When 24 callers break their checks off at one build after 2 events
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at the other build
    Then no stream has events of two versions
    And at least 20 of these streams are complete
    When the operators write a configuration with another route
    Then all 4 routers have it in force within 2000 ms
