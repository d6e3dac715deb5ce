Feature: Streams that a withdrawn version is about to begin go on at no other version
  # Servers of a second version read prompts while their entries go; they serve on for a
  # moment and end when their streams have begun.
  Background:
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
    And 3 gateways that know each other
    And they have known the servers for 10500 ms

  Scenario Outline: the entries go between a request and the first event of its stream
    # Guards against streams whose origin is looked up in a list without their server.
    When engines "e-3" and "e-4" of version "v2" are listed for <listed_ms> ms
    And 60 callers send checks, and before the first event the two <go>
    And the two end in the middle of their streams
    And callers whose checks broke off resume them at the next router
    Then no stream has events of two versions over its tries

    Examples:
      | listed_ms | go                                                  |
      | 300       | lose their entries                                  |
      | 0         | lose their entries                                  |
      | 300       | lose their entries, and get them back after 600 ms  |
      | 300       | are listed as other processes of version "v1"       |
      | 300       | are listed as other processes of version "v3"       |
      | 300       | are listed as processes of "v1" elsewhere           |

  Scenario Outline: streams of the version that stays are complete
    When engines "e-3" and "e-4" of version "v2" are listed for 300 ms
    And 60 callers send checks, and before the first event the two <go>
    And engine "e-1" ends in the middle of its streams
    And callers whose checks broke off resume them at the next router
    Then no stream has events of two versions over its tries
    And at least 95 % of the streams that began at "v1" are complete

    Examples:
      | go                                                  |
      | lose their entries                                  |
      | stay as they are                                    |

  Scenario: routers of an earlier build record no streams of a withdrawn version
    # Guards against conclusions from the absence of records that nobody has made.
    Given a router of a build that records streams with their first event joins them
    When engines "e-3" and "e-4" of version "v2" are listed for 300 ms
    And 48 callers send checks to that router, and before the first event the two lose their entries
    And these callers break off after 1 event and resume at the others
    Then no stream has events of two versions over its tries

  Scenario: streams from before the second version go on beside that build
    Given a router of a build that records streams with their first event joins them
    When 24 callers break their checks off after 2 events
    And engines "e-3" and "e-4" of version "v2" are listed for 300 ms
    And these callers resume their checks at the next router
    Then no stream has events of two versions
    And at least 22 of these streams are complete
