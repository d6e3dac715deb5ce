Feature: Messages are converted to plain maps and back
  Frames between routers and traces hold the same maps.

  Scenario: a message with an outcome and causes is restored from its map
    Given an answer that was refused because "engine-1" is at its limit
    When it is converted to a map and back
    Then it equals the first one

  Scenario: a payload inside its wrapping message keeps its type
    Given a peer's refusal of attempt "request-1.1"
    When it is converted to a map and back
    Then it equals the first one

  Scenario: a map with an unknown type raises a typed error
    When the map '{"type": "Strange"}' is converted
    Then the error's code is "undecodable_message"
