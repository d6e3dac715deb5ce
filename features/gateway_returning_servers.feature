Feature: A server that returns while the store is away gets no more than a cold one takes
  # A cold server takes 10 requests a second; the bound is 1.5 times that and 5 more.
  Background:
    Given a platform with app servers "a-1", "a-2" and "a-3" that are cold at their start
    And 3 gateways that know each other
    And the store is down

  Scenario: a server starts again under its ID and address
    # Guards against the full share of traffic for a process that the store cannot list.
    When all gateways get 150 reads a second for 7 s in all
    And "a-1" crashes after 1000 ms, and starts again after 1000 ms, cold for 3000 ms
    Then "a-1" gets at most 20 requests in any second while it is cold
    And "a-1" gets at least 20 requests in the last second
    And at least 95 % of the reads are served

  Scenario: a server is cold for longer than usual
    When all gateways get 150 reads a second for 7 s in all
    And "a-1" crashes after 1000 ms, and starts again after 1000 ms, cold for 9000 ms
    Then "a-1" gets at most 20 requests in any second while it is cold

  Scenario: only the connections to a server are lost
    When all gateways get 150 reads a second for 4 s in all
    And "a-1" resets its connections after 1000 ms
    Then "a-1" gets at least 20 requests in the last second
    And at least 95 % of the reads are served

  Scenario Outline: what a health answer says of the cold
    When the health of server "a-1" is answered with <answer>
    Then it says <cold>

    Examples:
      | answer                             | cold     |
      | 200 by "a-1" cold for "2500"       | 2500 ms  |
      | 200 by "a-1" cold for "0"          | 0 ms     |
      | 200 by "a-1"                       | 0 ms     |
      | 200 by "a-2" cold for "2500"       | nothing  |
      | 503 by "a-1" cold for "2500"       | nothing  |
      | 200 by "a-1" cold for "soon"       | nothing  |
      | 200 by "a-1" cold for "-5"         | nothing  |
      | 200 by "a-1" cold for "9999999999" | nothing  |

  Scenario Outline: until when a server that was lost counts as cold
    Given a server that is lost at 1000 ms, with <statement>
    Then at <at> ms, with the store <store>, it counts as <state>

    Examples:
      | statement                     | at    | store | state |
      | no statement                  | 1500  | away  | cold  |
      | no statement                  | 6999  | away  | cold  |
      | no statement                  | 7001  | away  | warm  |
      | no statement                  | 1500  | there | warm  |
      | 2000 ms stated and asked 1500 | 3400  | away  | cold  |
      | 2000 ms stated and asked 1500 | 3400  | there | cold  |
      | 2000 ms stated and asked 1500 | 3600  | away  | warm  |
      | 0 ms stated and asked 1500    | 1600  | away  | warm  |
      | 0 ms stated and asked 900     | 1600  | away  | cold  |
