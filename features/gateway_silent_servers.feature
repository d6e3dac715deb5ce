Feature: A gateway does not end an answer because a sound server is silent for a while
  The platform has two engines, of which "the first" gets a caller's prompt first.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario Outline: a stream arrives complete from a server that was silent in its middle
    Given the first engine of a prompt is silent for 1500 ms after 2 events
    And <obstacle>
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

    Examples:
      | obstacle                                            |
      | the other engine is full                            |
      | the other engine refuses connections                |
      | no other engine is registered                       |
      | the retry budget is used up                         |
      | the configuration drops the route's service meanwhile |

  Scenario Outline: a stream arrives complete from a server that was silent at its start
    Given the first engine of a prompt is silent for 700 ms after 0 events
    And <obstacle>
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

    Examples:
      | obstacle                             |
      | the other engine is full             |
      | the other engine refuses connections |
      | no other engine is registered        |
      | the retry budget is used up          |

  Scenario Outline: a read is answered by a server that was silent for a while
    Given app server "a-1" is silent for 700 ms
    And <obstacle>
    When 4 callers send a read
    Then all statuses are 200

    Examples:
      | obstacle                                 |
      | the other app server is full             |
      | the other app server refuses connections |
      | the retry budget is used up              |

  Scenario: a stream that its server broke off is resumed at a full server once it can
    Given the first engine of a prompt breaks its streams off after 2 events
    And the other engine is full for 200 ms from the break on
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

  Scenario: a read that its server broke off is sent to a full server until it can run it
    Given app server "a-1" breaks off and the other is full for 150 ms
    When 4 callers send a read
    Then all statuses are 200

  Scenario: a stream goes on at its server if that one is the first to go on
    Given the first engine of a prompt is silent for 1400 ms after 2 events
    And the other engine hangs
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each
    And no pause between events exceeds 1700 ms

  Scenario: a read is answered by the server that answers first
    Given app server "a-1" is silent for 500 ms
    And the other app server hangs
    When 4 callers send a read
    Then all statuses are 200

  Scenario: a stream goes on at the other server if its own one breaks while it is held
    Given the first engine of a prompt is silent for 60000 ms after 2 events
    And the other engine takes 100 ms for an event
    And the first engine crashes 1400 ms after its first event
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

  Scenario: a stream goes on when the configuration drops its route and service
    Given the first engine of a prompt is silent for 500 ms after 2 events
    And the configuration drops the route's service meanwhile
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

  Scenario Outline: a stream leaves a silent server after a second or more, and in time
    Given a route with a target of <target> ms and pauses of <pause> ms
    When a stream with <remaining> ms left falls silent
    Then it is sought another server after at least 1000 ms
    And at least 400 ms remain until its caller leaves or its time ends

    Examples:
      | target | pause | remaining |
      | 500    | 300   | 2500      |
      | 519    | 400   | 2700      |
      | 400    | 250   | 2000      |
      | 800    | 250   | 11000     |
      | 300    | 250   | 9000      |
      | 415    | 500   | 12000     |
      | 400    | 0     | 3000      |

  Scenario: a stream whose server stays silent continues at the other one in time
    Given the first engine of a prompt is silent for 60000 ms after 2 events
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each
    And no pause between events exceeds 2000 ms

  Scenario: a stream that continues at another server ends at the silent one
    Given the first engine of a prompt is silent for 60000 ms after 2 events
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each
    And the silent engine's run was dropped within 400 ms of the other's start

  Scenario: a stream that may not be sent to another server takes no retry of the budget
    Given the first engine of a prompt is silent for 2000 ms after 2 events
    And servers crash under a part of that prompt meanwhile
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each
    And no retry was taken from the budget

  Scenario Outline: an internal error leaves no answer behind on the caller's connection
    Given the first engine of a prompt is silent for 1500 ms after <n> events
    And an internal check fails when another server is sought
    When a caller sends a check with that prompt and then a read on the same connection
    Then the read is answered with its own answer, or the connection was closed before
    And the silent engine's run was dropped within 2000 ms

    Examples:
      | n |
      | 0 |
      | 2 |
