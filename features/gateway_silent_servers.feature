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
