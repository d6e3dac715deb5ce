Feature: Callers are served where most of a data centre has no path to the servers
  Scenario Outline: seven of the eight routers of a data centre lose their path
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 16 routers in two data centres that know each other
    When 7 routers of a data centre lose their path, with connections that are <how>
    And from 3 s after that each gateway gets 3 reads, checks and actions a second for 2 s
    Then the first 7 gateways serve at least two thirds as many as the others
    And no action has run twice

    Examples:
      | how                      |
      | reset                    |
      | accepted and then silent |
