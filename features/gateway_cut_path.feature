Feature: Callers of a router that has no path to the backend servers are served
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 4 gateways that know each other

  Scenario Outline: requests at routers without a path go through their peers
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 2 s
    Then the first 2 gateways serve at least two thirds as many as the others
    And no action has run twice

    Examples:
      | how    |
      | silent |
      | reset  |

  Scenario: a router whose path is back sends to the servers itself
    When the first 2 gateways lose their path to all servers, with connections that are reset
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 1 s
    And the path is back for 2 s
    And each gateway gets 10 reads, checks and actions a second for 1 s
    Then all of these are served without a peer

  Scenario: if no router has a path, callers are refused and no request circulates
    When the first 4 gateways lose their path to all servers, with connections that are reset
    And from 3 s after that each gateway gets 5 reads, checks and actions a second for 1 s
    Then none is served, and each is answered within 1000 ms
