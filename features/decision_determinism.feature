Feature: Decisions are deterministic
  The replay of traces and the analysis of failures depend on it.

  Scenario: the same trace and seed produce byte-identical messages
    When 60 seeded fleets run twice
    Then both runs gave the same bytes
