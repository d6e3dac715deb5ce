Feature: The example traces pass
  They were recorded by running the product against fakes, and expect outcomes derived
  from the operators' texts and the product's guarantees. After a change of the messages
  between routers they must be recorded again: python -m tools.make_example_traces

  Scenario: every example trace of both users passes
    When all example traces are replayed
    Then there is a row for each of at least 10 traces, and all of them pass
    And both users have traces, and one was recorded on a real router with HTTP clients

  Scenario: two replays of all example traces print the same bytes
    When all example traces are replayed
    Then a second replay of all example traces prints the same bytes
