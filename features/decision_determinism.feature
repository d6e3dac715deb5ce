Feature: The decisions are deterministic
  Replay and the search for causes depend on it.

  Scenario: the same trace and seed give the same messages byte for byte
    When 60 seeded fleets run twice
    Then both runs gave the same bytes
