Feature: An owner's share of a bound rises with a delay after a network partition heals
  While a partition heals, both sides own the same backend servers for a short time.

  Scenario: a decrease takes effect immediately and an increase after two seconds
    Given an owner that reaches 5 of 5 routers from 0 ms on
    And that reaches 3 of 5 routers from 10000 ms on
    And that reaches 5 of 5 routers from 14000 ms on
    Then its minimum reachability is 5 routers at 9999 ms
    And its minimum reachability is 3 routers at 10000 ms
    And its minimum reachability is 3 routers at 15999 ms
    And its minimum reachability is 5 routers at 16000 ms
