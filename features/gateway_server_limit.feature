Feature: A request reaches no more backend servers than its route allows
  A request may go through other routers. The limit of its route holds for all of them
  together.

  Background:
    Given a platform with 2 engines and 8 app servers
    And 4 gateways that know each other

  Scenario Outline: reads through peers reach no more servers than their route allows
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And the app servers fail half of the requests, which they <failure>
    And each gateway gets 10 reads a second for 3 s, and again for 6 s
    Then no read has run on more than 2 servers
    And the first 2 gateways serve at least two thirds as many of the latter as the others

    Examples:
      | how                      | failure                    |
      | reset                    | run and answer with 500    |
      | reset                    | run and break off          |
      | silent                   | run and answer with 500    |
      | accepted and then silent | run and break off          |
      | reset                    | reject unread              |

  Scenario Outline: reads that fail at all servers reach no more than their route allows
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And the app servers fail all of the requests, which they <failure>
    And each gateway gets 10 reads a second for 3 s
    Then no read has run on more than 2 servers
    And the service gets no more repeats than the retry budget allows

    Examples:
      | how                      | failure               |
      | reset                    | run and answer with 500 |
      | reset                    | run and break off     |
      | accepted and then reset  | run and answer with 500 |
