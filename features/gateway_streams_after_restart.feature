Feature: Streams are not joined from two versions after all routers were killed at once
  Background:
    Given a platform whose engines state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 4 gateways that know each other

  Scenario: the servers of a version leave before the kill
    When 32 callers break their checks off at all routers after 2 events
    And engines "e-1" and "e-2" leave
    And all routers are killed at once and are back after 500 ms
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions
    And each reply is complete or has status 503 within 400 ms
    And each refusal says when to come back

  Scenario: the servers of a version leave while the routers are away
    When 32 callers break their checks off at all routers after 2 events
    And all routers are killed at once, engines "e-1" and "e-2" leave, and they are back
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions

  Scenario: both versions go on serving
    When 32 callers break their checks off at all routers after 2 events
    And all routers are killed at once and are back after 500 ms
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions

  Scenario: only one version has served
    Given engines "e-3" and "e-4" have never been there
    When 32 callers break their checks off at all routers after 2 events
    And all routers are killed at once and are back after 500 ms
    And these callers resume their checks at all routers
    Then at least 29 of these streams are complete

  Scenario: the store has discarded the history of that time
    When 32 callers break their checks off at all routers after 2 events
    And engines "e-1" and "e-2" leave
    And all routers are killed at once and the store discards its history
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions
    And each refusal says when to come back

  Scenario: the history has the removal of a server, but not its entry
    When 32 callers break their checks off at all routers after 2 events
    And the store discards its history, and engines "e-1" and "e-2" leave
    And all routers are killed at once and are back after 500 ms
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions

  Scenario: the store has discarded its history, and something else was written since
    # Guards against a history that is taken to reach back as far as the store states.
    When 32 callers break their checks off at all routers after 2 events
    And engines "e-1" and "e-2" leave
    And the store discards its history, and the operators write a configuration
    And all routers are killed at once and are back after 500 ms
    And these callers resume their checks at all routers
    Then at most 2 streams have events of two versions
    And each reply is complete or has status 503 within 400 ms
    And each refusal says when to come back

  Scenario: streams that began after the restart go on beside the history of two versions
    When engines "e-1" and "e-2" leave
    And all routers are killed at once and are back after 500 ms
    And a caller resumes a check that no router knows
    And 32 callers break their checks off at all routers after 2 events
    And these callers resume their checks at all routers
    Then at least 29 of these streams are complete

  Scenario Outline: the oldest change that the store still has is found in a few calls
    When a store at revision <at> has the changes after revision <start>
    Then they are read from there with at most <calls> probes

    Examples:
      | at      | start   | calls |
      | 5000000 | 4999700 | 20    |
      | 5000000 | 4999999 | 10    |
      | 5000000 | 0       | 1     |
      | 40      | 0       | 1     |
      | 5000000 | 100     | 45    |

  Scenario Outline: only a history that begins with the first change is whole
    When a store at revision 5000 has the changes after revision <start>
    Then its history <is> whole

    Examples:
      | start | is     |
      | 0     | is     |
      | 1     | is not |
      | 4990  | is not |

  Scenario: the oldest change is discarded while the history is read
    When a store at revision 5000 that has the changes after 4000 discards 20 meanwhile
    Then they are read from a revision between 4020 and 4100

  Scenario: a store without any change does not tell how far its history goes back
    When a store at revision 40 has no changes any more
    Then its history is not known

  Scenario Outline: where a stream began is concluded only by those who watched long enough
    When routers answer with <evidence>, having watched for 100 ms at least
    Then the chosen origin is <origin>

    Examples:
      | evidence                                     | origin |
      | concluded 1 after 99 ms                      | none   |
      | concluded 1 after 100 ms                     | 1      |
      | concluded 1 after 99 ms, recorded 2 after 5  | 2      |
      | concluded 1 after 99 ms, concluded 2 after 120 | 2    |

  Scenario Outline: what the store lists and has removed tells which versions served
    Given a store that lists "<listed>" and whose history is "<history>"
    Then the versions that served are "<versions>"

    Examples:
      | listed | history              | versions |
      | a=v1   | nothing              | v1       |
      | a=v1   | +b=v2 -b             | v1 v2    |
      | a=v1   | -b                   | unknown  |
      | a=v1   | +a=v1 +b=v1 -b       | v1       |
      | a=v1   | +b=v2 -b -c          | unknown  |
      | a=v1!  | +b=v1                | unknown  |
      | a=v1!  | +a=v1!               | v1       |
