Feature: A gateway forwards answers that have neither length nor chunks
  Such an answer ends with its connection: it is complete if the connection is closed and
  incomplete if it is reset.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario Outline: an answer whose connection is closed is complete
    Given all servers answer with a head of <head>
    And both app servers misbehave by no_length
    When a caller sends an issuance
    Then the status is 200
    And the body is the server's whole answer
    And the request has run 1 times

    Examples:
      | head                            |
      | HTTP/1.1 with Connection: close |
      | HTTP/1.1                        |
      | HTTP/1.0                        |

  Scenario Outline: an answer whose connection is reset is not complete
    Given all servers answer with a head of <head>
    And both app servers misbehave by no_length_late_reset
    When a caller sends an issuance
    Then the status is 502
    And the request has run 1 times

    Examples:
      | head                            |
      | HTTP/1.1 with Connection: close |
      | HTTP/1.1                        |
      | HTTP/1.0                        |

  Scenario: a read whose answer is reset is answered by the other server
    Given app server "a-1" misbehaves by no_length_late_reset
    When 6 callers send a read
    Then all statuses are 200

  Scenario Outline: the connection of such an answer is never used again
    Given all servers answer with a head of <head>
    And all servers send answers that end with their connection
    When 8 callers send a read
    Then all statuses are 200
    And each reply is the answer to its own request
    And the gateway has opened a connection for each of the 8

    Examples:
      | head                            |
      | HTTP/1.1 with Connection: close |
      | HTTP/1.1                        |
      | HTTP/1.0                        |

  Scenario Outline: a stream that ends after a whole event is complete
    Given all servers answer with a head of <head>
    And all servers send answers that end with their connection
    When a caller sends a chat
    Then the status is 200 and the body holds events 1 to 5 once each
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

    Examples:
      | head                            |
      | HTTP/1.1 with Connection: close |
      | HTTP/1.1                        |
      | HTTP/1.0                        |

  Scenario: the events of such a stream are forwarded as they come
    Given both engines misbehave by no_length
    And the engines take 150 ms for an event
    When a caller reads the parts of a chat
    Then 5 parts arrive, each at least 75 ms after the one before

  Scenario Outline: a stream that breaks off is never complete for its caller
    Given both engines misbehave by <fault>
    When a caller sends a chat
    Then the status is 200 and the body is not complete

    Examples:
      | fault                |
      | no_length_mid_event  |
      | no_length_late_reset |

  Scenario Outline: a resumable stream that breaks off continues at the other server
    Given engine "e-1" misbehaves by <fault>
    And engine "e-2" behaves
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

    Examples:
      | fault                |
      | no_length_mid_event  |
      | no_length_late_reset |

  Scenario: a resumed stream may itself have neither length nor chunks
    Given engine "e-1" misbehaves by mid_event
    And engine "e-2" misbehaves by no_length
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
