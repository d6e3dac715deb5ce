Feature: A stream that goes on at another server never repeats a piece
  Numbers of events increase. A server that goes on with a stream too early is at fault,
  and so is one that sends a part again.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 1 gateways that know each other
    And engine "e-1" breaks off each stream in the middle

  Scenario Outline: the server at which it goes on sends pieces again
    Given engine "e-2" begins <n> pieces too early when it goes on with a stream
    When 12 callers in turn send a check
    Then some of them were sent to both engines, and none gets a piece twice

    Examples:
      | n |
      | 1 |
      | 2 |

  Scenario: a server that goes on with the next piece is used as before
    When 12 callers in turn send a check
    Then each of them gets each piece once, and some were sent to both engines

  Scenario: numbers may begin with 0
    Given engines number the pieces of a stream from 0
    When 12 callers in turn send a check
    Then each of them gets an answer with status 200 that begins with piece 0
