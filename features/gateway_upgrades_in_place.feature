Feature: Streams do not go on at a server that was upgraded in place unknown to the store
  # Each server starts again under its ID and address, at another software version, and
  # the entry of the former process stays until the store is reached again.
  Background:
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1      |
      | e-4    | v1      |
    And their events name their version
    And 3 gateways that know each other

  Scenario: the store is down
    Given the store is down
    And engines "e-1" and "e-2" are upgraded in place to "v2"
    And engines "e-3" and "e-4" break streams off in the middle
    When 48 callers send a check
    Then no answer has events of two versions

  Scenario: streams go on at the others of their version while the store is down
    Given the store is down
    And engine "e-1" is upgraded in place to "v2"
    And engine "e-4" breaks streams off in the middle
    When 24 callers send a check
    Then no answer has events of two versions
    And at least 21 of these streams are complete

  Scenario: the upgraded servers cannot reach the store
    Given engines "e-1" and "e-2" are upgraded in place to "v2"
    And engines "e-3" and "e-4" break streams off in the middle
    When 48 callers send a check
    Then no answer has events of two versions

  Scenario: a stream that began at an upgraded server does not go on at the others
    Given the store is down
    And engines "e-1" and "e-2" are upgraded in place to "v2"
    And engines "e-1" and "e-2" break streams off in the middle
    When 48 callers send a check
    Then no answer has events of two versions

  Scenario: callers take up at another router what began at an upgraded server
    Given the store is down
    And engines "e-1" and "e-2" are upgraded in place to "v2"
    When 48 callers break checks off after 2 events and resume them elsewhere
    Then no stream has events of two versions over its tries

  Scenario: callers take streams up at another router while the store is down
    Given the store is down
    When 48 callers break checks off after 2 events and resume them elsewhere
    Then at least 46 of these streams are complete

  Scenario: streams that began before the store went down are taken up
    When 24 callers break their checks off after 2 events
    And the store is down
    And these callers resume their checks at the next router
    Then at least 23 of these streams are complete

  Scenario: all servers are upgraded while streams come
    Given the store is down
    When 24 callers send checks while the engines are upgraded in place one by one
    Then no answer has events of two versions
    And at least 40 streams are complete

  Scenario: a server that goes on as it was is asked once for all streams
    Given the store is down
    And engine "e-4" breaks streams off in the middle
    When 24 callers send a check
    Then at least 24 of these streams are complete
    And each engine was asked at most 12 times for its start

  Scenario Outline: servers that do not state their start
    Given no engine answers the question for its start <how>
    And the store is <state>
    And engine "e-4" breaks streams off in the middle
    When 24 callers send a check
    Then at least <n> of these streams are complete

    Examples: as long as the store would tell of another process, the entry counts
      | how          | state | n  |
      | at all       | up    | 22 |
      | with a time  | up    | 22 |

  Scenario Outline: which connections lead to the process that is known
    Given a server that is listed with the start time 1000
    When it was asked <questions>
    Then a connection opened at <opened> is <proof>, and the process is <process>

    Examples: the listed process
      | questions                        | opened | proof    | process  |
      | never                            | 10     | unproven | listed   |
      | at 20, and stated 1000           | 10     | proven   | listed   |
      | at 20, and stated 1000           | 30     | unproven | listed   |
      | at 20 and 40, and stated 1000    | 30     | proven   | listed   |

    Examples: another process, which may have begun to accept connections at any time
      | questions                        | opened | proof    | process  |
      | at 20, and stated 5000           | 10     | unproven | replaced |
      | at 20, and stated 5000           | 30     | unproven | replaced |
      | at 20 and 40, and stated 5000    | 30     | proven   | replaced |
      | at 20 and 40, and stated 5000    | 10     | unproven | replaced |
