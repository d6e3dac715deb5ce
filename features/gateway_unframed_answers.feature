Feature: A gateway treats answers without a length by how their connection ends
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario: a stream that ends with its connection arrives complete
    Given all servers send answers that end with their connection
    When a caller sends a chat
    Then the status is 200 and the body holds events 1 to 5 once each
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

  Scenario: reads whose answers end with their connection are all answered
    Given all servers send answers that end with their connection
    When 8 callers send a read
    Then all statuses are 200
    And each reply is the answer to its own request

  Scenario: a stream whose connection ends inside an event never looks complete
    Given both engines misbehave by no_length_mid_event
    When a caller sends a chat
    Then the status is 200 and the body is not complete

  Scenario: a stream whose connection ends inside an event continues at the other server
    Given engine "e-1" misbehaves by no_length_mid_event
    And engine "e-2" behaves
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

  Scenario Outline: an action whose server sends bytes without end is not sent again
    Given both app servers misbehave by <fault>
    When a caller sends an issuance
    Then the reply is a failure within 3500 ms
    And the request has run 1 times
    And no server is still sending 1000 ms later

    Examples:
      | fault        |
      | endless_head |
      | endless_body |

  Scenario: a server crashes at a fatal part unless it is the last one of the prompt
    Given part "bb" is fatal to both engines
    When a caller sends a chat
    Then the status is 502
    And one of the engines has crashed
    Given part "cc" is fatal to both engines
    When a caller sends a chat
    Then the status is 200 and the body holds events 1 to 5 once each
