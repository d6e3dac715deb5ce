Feature: Gateways respect servers that limit the rate of their requests
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And a second gateway that is ready

  Scenario: a limit is logged when it is stated and when it ends
    When server "a-1" states a limit of "2.5" requests a second
    And the first gateway gets reads until it has sent 3 to "a-1"
    And server "a-1" states no limit any more
    And the first gateway gets reads until it has sent 1 to "a-1"
    Then the log of the first gateway has 1 line "server_limited"
    And the log of the first gateway has 1 line "server_unlimited"

  Scenario Outline: a value that states no rate is ignored
    When server "a-1" states a limit of "<value>" requests a second
    And the first gateway gets reads until it has sent 3 to "a-1"
    Then the log of the first gateway has 0 line "server_limited"

    Examples:
      | value   |
      | few     |
      | -1      |
      | nan     |
      | inf     |
      | 3;q=0.5 |

  Scenario: all routers together send a limited server no more than it takes
    When server "a-1" states a limit of "1.5" requests a second
    And both gateways get 20 reads a second for 7 s
    Then "a-1" gets at most 14 requests in any 4 s from 0.5 s after its first answer on
    And "a-1" gets at least 5 requests in that time
    And all reads are answered

  Scenario: the limit holds while the entry of its server lapses and comes back
    # Guards against counts that are dropped with an entry, so that shares start anew.
    Given engine "a-2" leaves
    When server "a-1" states a limit of "1.5" requests a second
    And both gateways get 20 reads a second for 7 s, and the entry of "a-1" lapses for 200 ms each second
    Then "a-1" gets at most 14 requests in any 4 s from 0.5 s after its first answer on
    And "a-1" gets at least 5 requests in that time

  Scenario: a router that starts hears of the limits from the others
    When server "a-1" states a limit of "0.25" requests a second
    And the first gateway gets reads until it has sent 1 to "a-1"
    And a third gateway starts and is ready
    Then within 1000 ms the third gateway knows a limit

  Scenario: if all servers are at their limits, callers are refused at once
    When server "a-1" states a limit of "0.5" requests a second
    And server "a-2" states a limit of "0.5" requests a second
    And both gateways get 20 reads a second for 2 s
    And 8 callers send a read
    Then each is refused within 100 ms with a Retry-After of 0.1 to 5.0 s
    And the times differ
