Feature: A stream goes on only at servers of the software version that began it
  Background:
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 3 gateways that know each other

  Scenario: callers that take streams up at another router meet the version of before
    When 48 callers break their checks off after 2 events
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at the next router
    Then no stream has events of two versions
    And at least 40 of these streams are complete

  Scenario: a stream that breaks in the middle is resumed at the same version
    Given engines "e-1" and "e-3" break streams off in the middle
    When 24 callers send a check
    Then no stream has events of two versions
    And at least 22 of these streams are complete

  Scenario: a stream is not resumed at another version if its own has one server
    Given engines "e-1" and "e-2" leave
    And engine "e-3" leaves
    And engine "e-4" breaks streams off in the middle
    And an engine "e-5" of version "v2" comes
    When 12 callers send a check
    Then no stream has events of two versions

  Scenario: a stream is not handed over from a silent server to another version
    Given engine "e-2" leaves
    And engine "e-4" leaves
    And engines "e-1" and "e-3" are silent for 1300 ms after 2 events
    When 6 callers send a check
    Then no stream has events of two versions
    And at least 6 of these streams are complete

  Scenario: the router that began the streams is gone
    When 24 callers break their checks off after 2 events
    And the router that began them is gone
    And engines "e-2" and "e-4" are full
    And these callers resume their checks at the next router
    Then no stream has events of two versions
    And at least 20 of these streams are complete

  Scenario: streams are taken up at a router that has just started
    When 24 callers break their checks off after 2 events
    And the router that began them is gone
    And another router starts and is ready
    And engines "e-1" and "e-4" are full
    And these callers resume their checks at the new router
    Then no stream has events of two versions
    And at least 20 of these streams are complete

  Scenario Outline: a stream whose version is not known is refused at once as not run
    When a caller resumes a check <header>
    Then the reply has status 503 within 700 ms and no engine has run it
    And a log line of the refusal has the cause "stream_version_unknown"

    Examples:
      | header                                   |
      | that no router knows                     |
      | without naming the attempt that began it |

  Scenario: a stream whose version has left altogether is refused at once
    When 24 callers break their checks off after 2 events
    And engines "e-1" and "e-2" leave
    And these callers resume their checks at the next router
    Then no stream has events of two versions
    And each reply is complete or has status 503 within 150 ms
    And a log line of the refusal has the cause "stream_version_gone"

  Scenario Outline: a server whose entry names no version goes on with its own streams only
    Given engine "e-1" states <version> as its version
    When 24 callers break checks off after 2 events and resume them elsewhere
    Then no stream has events of two versions, "e-1" having its own

    Examples:
      | version |
      | nothing |
      | 7       |
      | ["v1"]  |

  Scenario: if no server names a version, streams go on at any
    Given no engine states a version
    When 24 callers break checks off after 2 events and resume them elsewhere
    Then at least 22 of these streams are complete

  Scenario: cached prompt parts are not copied between versions
    When 40 callers send a check with the same two prompts
    Then no engine was told to copy from an engine of another version

  Scenario: routes split between services resume a stream at the same service
    Given the route of checks is split between two services
    When 24 callers break checks off after 2 events and resume them elsewhere
    Then no stream has events of two versions

  Scenario: a stream that breaks while the path is cut goes on through a peer
    Given engines "e-1" and "e-3" break streams off in the middle
    And events take 120 ms
    When 12 callers send a check to the first gateway, whose path is cut after 300 ms
    Then no stream has events of two versions
    And at least 10 of these streams are complete

  Scenario: a stream that began through a peer goes on here when the path is back
    Given events take 120 ms
    And the path of the first gateway is cut
    When 12 callers send a check to the first gateway, whose path is back after 300 ms
    And its peers and engines "e-1" and "e-3" end at that time
    Then no stream has events of two versions
    And at least 10 of these streams are complete
