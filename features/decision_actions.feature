Feature: Non-repeatable actions reach a server at most once
  Servers fail, refuse connections and restart while actions are in flight.

  Scenario: an action is dispatched at most once despite failures
    When 100 seeded fleets run actions on servers that fail and restart
    Then no action has reached a server twice
    And no action that reached a server was refused as not run
