Feature: A stopping gateway answers what it accepts, also with a short grace period
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario Outline: a request that is accepted after SIGTERM is answered completely
    Given both app servers are silent for 850 ms before they answer
    When a caller sends an issuance 2300 ms after SIGTERM to a gateway with <grace> ms
    Then its answer is complete

    Examples:
      | grace |
      | 8000  |
      | 4000  |

  Scenario: a request that arrives while the process exits is not passed on
    When a caller whose connection is open sends an issuance as the process exits
    Then no server has received the issuance
    And the caller's connection was closed without an answer
