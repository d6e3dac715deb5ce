Feature: Routers report failing backend servers to each other
  Scenario Outline: a failing server is ejected by many routers that each observe few requests
    Given <n> routers in front of 30 engines that report failures to each other
    When 250 requests a second arrive for 10 s and one engine fails <part> of 100
    Then the failing engine receives at most half of its share
    And the other engines are ejected for less than 1 of 100 of the time

    Examples:
      | n  | part |
      | 7  | 45   |
      | 77 | 45   |
      | 77 | 100  |

  Scenario: routers that do not report failures continue to use a failing server
    Given 77 routers in front of 30 engines that do not report failures
    When 250 requests a second arrive for 10 s and one engine fails 45 of 100
    Then the failing engine receives more than half of its share

  Scenario: a low failure rate at all servers ejects hardly any of them
    Given 77 routers in front of 30 engines that report failures to each other
    When 250 requests a second arrive for 10 s and all engines fail 5 of 100
    Then the other engines are ejected for less than 1 of 100 of the time

  Scenario: a server unreachable from one data centre is suspected only there
    Given failure detectors in three data centres
    When two routers of the first data centre cannot reach a server
    Then only the first data centre's detector suspects it
    When a router of the second data centre cannot reach it either
    Then the detector of every data centre suspects it
    When the third data centre's router gets a good answer from it
    Then the third data centre's detector no longer suspects it

  Scenario: a failure report that arrives over several links counts once
    Given failure detectors in three data centres
    When one router's report of 2 failures arrives three times
    Then the detector has relayed it once
    And the detector does not suspect the server

  Scenario: failure reports about removed servers are discarded
    Given failure detectors in three data centres
    When two routers of the first data centre cannot reach a server
    And the server is removed
    Then no detector holds reports

  Scenario: the estimated rate of a service is correct soon after a router's start
    Given a router that has received 20 requests in its first 2 s
    Then it estimates the service's rate as 10 a second
    When 30 s pass without a request
    Then it estimates the service's rate as 0 a second

  Scenario: the reports of a server are bounded even if they are never evaluated
    Given failure detectors in three data centres
    When 2000 reports of one server arrive at a detector
    Then the detector holds at most 256 reports
