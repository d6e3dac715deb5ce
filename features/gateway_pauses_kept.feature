Feature: A gateway remembers a server's pause while the server is out of use
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario Outline: a pause outlasts a change that takes the server out for a moment
    When server "a-1" refuses a request and asks for a pause of "4" s
    And <change> for 600 ms
    Then 20 reads before the end of the pause reach only the other server

    Examples:
      | change                                      |
      | nothing changes                             |
      | the servers' data centre is out of service  |
      | the configuration lacks the servers' service |
