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
