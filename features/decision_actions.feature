Feature: Actions that may not be repeated reach a server at most once
  Servers fail, refuse connections and restart while actions are under way.

  Scenario: an action is dispatched at most once whatever fails
    When 100 seeded fleets run actions on servers that fail and restart
    Then no action has reached a server twice
    And no action that reached a server was refused as not run
