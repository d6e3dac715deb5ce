Feature: A gateway answers each request that it has read

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"

  Scenario: a request in progress is answered when a stopping gateway must exit
    Given a gateway that is ready with a grace period of 2000 ms
    And both app servers misbehave by hang
    When a caller sends an issuance and the gateway is stopped 100 ms later
    Then it is answered with 502 before the gateway has stopped

  Scenario: a caller that reads slowly gets the whole last answer of a connection
    Given a gateway that is ready
    And both app servers answer with 7900000 bytes
    When a caller sends a read with "Connection: close" and reads after 1800 ms
    Then it receives all 7900000 bytes

  Scenario: a sound server that reads nothing for a while receives a large request
    Given a platform with an app server that reads nothing for 1600 ms
    And a gateway that is ready
    When a caller sends an issuance of 300000 bytes
    Then the issuance is answered with 200

  Scenario: a caller whose answer cannot be written is not left waiting
    Given a gateway that is ready
    And the gateway fails to write the heads of answers
    When a caller sends a read and waits for the end of its connection
    Then the connection ends within 1000 ms
