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
