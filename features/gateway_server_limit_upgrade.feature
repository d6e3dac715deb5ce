Feature: A request reaches no more servers than allowed while an upgrade runs
  Routers of the build before know nothing of what a request may still reach. What callers
  send to them, and they to each other, is bounded by that build alone.

  Scenario Outline: reads go through peers of the build before
    Given a platform with 2 engines and 8 app servers
    And 2 gateways that know each other
    And 2 routers of the former build that join them
    Then all 4 routers are linked to the other 3
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And the app servers fail half of the requests, which they <failure>
    And each router of both builds gets 10 reads a second for 3 s, and again for 6 s
    Then no read that these gateways got from callers has run on more than 2 servers
    And the first 2 gateways serve at least two thirds as many of the latter as the others

    Examples:
      | how                      | failure               |
      | reset                    | run and answer with 500 |
      | reset                    | run and break off     |
      | accepted and then reset  | run and answer with 500 |
