Feature: A stream that began before a second software version came goes on
  Background:
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
    And 3 gateways that know each other

  Scenario: streams that began before the second version came meet the first one
    When 24 callers break their checks off after 2 events
    And an engine "e-3" of version "v1.1" comes
    And an engine "e-4" of version "v1.1" comes
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at the next router
    Then no stream has events of two versions
    And at least 22 of these streams are complete

  Scenario: streams that began before the first version left are refused
    When 24 callers break their checks off after 2 events
    And an engine "e-3" of version "v1.1" comes
    And engines "e-1" and "e-2" leave
    And another router starts and is ready
    And these callers resume their checks at the new router
    Then no stream has events of two versions

  Scenario: a router that has just started resumes streams where one version serves
    When 24 callers break their checks off after 2 events
    And another router starts and is ready
    And engines "e-1" and "e-3" are full
    And these callers resume their checks at the new router
    Then at least 22 of these streams are complete

  Scenario Outline: where an unrecorded stream began follows from the versions that served
    Given servers of the versions "<before>" are known from 0 ms on
    And servers of the versions "<then>" are known from 30000 ms on
    When the origin of an unrecorded stream is sought at <at> ms
    Then it is "<origin>"

    Examples:
      | before | then    | at    | origin |
      | v1     | v1      | 30001 | v1     |
      | v1     | v1 v1.1 | 30001 | v1     |
      | v1     | v1 v1.1 | 39999 | v1     |
      | v1     | v1 v1.1 | 40001 | none   |
      | v1     | v1.1    | 30500 | v1     |
      | v1     | v1.1    | 45000 | v1.1   |
      | v1 v2  | v2      | 30500 | none   |
      | v1 v2  | v2      | 45000 | v2     |

  Scenario Outline: the best evidence of several routers counts
    When routers answer with <evidence>
    Then the chosen origin is <origin>

    Examples:
      | evidence                                      | origin |
      | nothing                                       | none   |
      | unknown, unknown                              | none   |
      | concluded 1 after 50 ms                       | 1      |
      | concluded 1 after 50 ms, concluded 2 after 90 | 2      |
      | concluded 1 after 90 ms, recorded 2 after 5   | 2      |
      | unknown, recorded 3 after 0                   | 3      |
