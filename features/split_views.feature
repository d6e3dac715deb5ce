Feature: The share of a healing split grows only after the views have settled
  Sides that find each other again own the same backend servers for a moment.

  Scenario: a fall counts at once and a rise after two seconds
    Given an owner that reaches 5 of 5 routers from 0 ms on
    And that reaches 3 of 5 routers from 10000 ms on
    And that reaches 5 of 5 routers from 14000 ms on
    Then its settled reach is 5 routers at 9999 ms
    And its settled reach is 3 routers at 10000 ms
    And its settled reach is 3 routers at 15999 ms
    And its settled reach is 5 routers at 16000 ms
