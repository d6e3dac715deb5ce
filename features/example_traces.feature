Feature: The example traces hold
  They were recorded by running the product against its stand-ins, and state outcomes
  from the operators' texts and the product's promises. After a change of the messages
  between routers they are recorded anew: python -m tools.make_example_traces

  Scenario: every example trace of both users holds
    When all example traces are replayed
    Then there is a row for each of at least 10 traces, and all of them hold
    And both users have traces, and one stems from a real router with HTTP clients

  Scenario: two replays of all example traces print the same bytes
    When all example traces are replayed
    Then a second replay of all example traces prints the same bytes
