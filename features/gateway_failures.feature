Feature: Routers tell each other which backend servers fail
  Scenario Outline: a failing server is left out by many routers that each see little
    Given <n> routers before 30 engines that tell each other of failures
    When 250 requests a second come for 10 s and one engine fails <part> of 100
    Then the failing engine gets at most half of its share
    And the other engines are left out for less than 1 of 100 of the time

    Examples:
      | n  | part |
      | 7  | 45   |
      | 77 | 45   |
      | 77 | 100  |

  Scenario: routers that tell each other nothing go on to use a failing server
    Given 77 routers before 30 engines that do not tell each other of failures
    When 250 requests a second come for 10 s and one engine fails 45 of 100
    Then the failing engine gets more than half of its share

  Scenario: some failures at all servers cost hardly any of them
    Given 77 routers before 30 engines that tell each other of failures
    When 250 requests a second come for 10 s and all engines fail 5 of 100
    Then the other engines are left out for less than 1 of 100 of the time

  Scenario: routers of one data centre that cannot reach a server convince only their own
    Given boards of failures in three data centres
    When two routers of the first data centre cannot reach a server
    Then only the first data centre's board speaks against it
    When a router of the second data centre cannot reach it either
    Then the board of every data centre speaks against it
    When the third data centre's router gets a good answer from it
    Then the third data centre's board speaks no more against it

  Scenario: a report of failures that comes over two links counts once
    Given boards of failures in three data centres
    When one router's report of 2 failures comes to a board three times
    Then the board has told it on once
    And the board does not speak against the server

  Scenario: what was told of servers that are gone is forgotten
    Given boards of failures in three data centres
    When two routers of the first data centre cannot reach a server
    And the server is gone
    Then no board holds reports

  Scenario: the rate of a service is right also soon after a router's start
    Given a router that has got 20 requests in its first 2 s
    Then it takes the service's rate to be 10 a second
    When 30 s pass without a request
    Then it takes the service's rate to be 0 a second

  Scenario: reports of a server that is not judged stay bounded
    Given boards of failures in three data centres
    When 2000 reports of one server come to a board
    Then the board holds at most 256 reports
