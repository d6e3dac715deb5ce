Feature: Servers of unequal speed
  Servers share their hosts and state how long work takes there at the moment. A request
  goes where it is expected to be done first, and a figure counts less the older it is.

  Scenario Outline: expected time of a request at a server
    When <n_ahead> requests are at a server of <n_slots> slots that takes <slowness> times as long
    Then a request of 90 ms is expected to take <expected_ms> ms

    Examples:
      | n_ahead | n_slots | slowness | expected_ms |
      | 0       | 6       | 1.0      | 90          |
      | 5       | 6       | 1.0      | 90          |
      | 6       | 6       | 1.0      | 105         |
      | 11      | 6       | 1.0      | 180         |
      | 2       | 6       | 2.5      | 225         |
      | 1       | 0       | 1.0      | 180         |

  Scenario: an old figure gives way to the server's own mean
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of 2.5
    Then its slowness is 2.5 after 0 ms
    And its slowness is between 1.85 and 1.95 after 300 ms
    And its slowness is between 1.28 and 1.35 after 3000 ms

  Scenario: figures that arrive late or twice change nothing
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of 2.5
    And a slowness of 1.0 that is 50 ms old arrives
    And a slowness of 1.0 that is -5000 ms old arrives
    Then its slowness is 2.5 after 0 ms

  Scenario Outline: figures that cannot be right are ignored
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of <figure>
    Then its slowness is between 1.29 and 1.31 after 0 ms

    Examples:
      | figure |
      | nan    |
      | inf    |
      | -2.5   |
      | 0.0    |
      | 0.01   |
      | 1e9    |

  Scenario: what a server states of its speed reaches other routers
    Given two routers that tell each other the loads of servers
    When the first router is told a load of 5 requests, 6 slots and a slowness of 2.5
    And the second router hears of it 400 ms later
    Then the second router takes the server's slowness for less than 2.5 and more than 1.0
    And a third router hears the same from the second

  Scenario: routers of the build before read the loads without the speeds
    Then the former build reads a frame with speeds, and this build a frame without them

  Scenario: reports of speeds that are broken or cannot be right
    Then speeds that are cut are refused with a typed error
    And speeds of no time, of 10,000,000 percent and of a server without a load are ignored

  Scenario: requests of few routers go where they are done first
    Given 3 routers before servers of which each takes 2.5 times as long a seventh of the time
    When each choice gets the same arrivals for 30 s
    Then 99 in 100 answers come sooner than by the choice without speeds, the least loaded and two choices

  Scenario: many routers with the same old figures do not all go to one server
    Given 112 routers before servers of which each takes 2.5 times as long a seventh of the time
    When each choice gets the same arrivals for 30 s
    Then 99 in 100 answers come sooner than by the choice without speeds, the least loaded and two choices

  Scenario: figures that lie are not followed for long
    Given 3 routers before servers of which one always states the tenth of its slowness
    When each choice gets the same arrivals for 30 s
    Then 99 in 100 answers come sooner than by the choice without speeds

  Scenario: a slower kind of host that servers do not state is found by their answers
    Given 3 routers before servers of which one is 1.3 times slower and does not state it
    When each choice gets the same arrivals for 30 s
    Then 99 in 100 answers come sooner than by the choice without speeds

  Scenario: where servers do not state how long work takes, the choice is as before
    Given 4 servers that state no slowness
    Then 200 choices with the same random numbers are those of the least utilization

  Scenario: a failing server is known from all routers' failures
    Given 112 routers that send 150 requests a second to 4 servers
    When all servers fail 2 in 100 for 20 s
    And one server fails 50 in 100 and the others 2 in 100 for 3 s
    Then every router takes the share of the failing server for 0.15 above the others

  Scenario: where all servers fail alike, none stands out
    Given 112 routers that send 150 requests a second to 4 servers
    When all servers fail 14 in 100 for 20 s
    Then no router takes a share for more than 0.15 above another

  Scenario: two failures of three requests are no evidence
    Given 3 routers that send 1 requests a second to 4 servers
    When a server fails 2 of 3 requests
    Then no router takes a share for more than 0.15 above another

  Scenario: the second choice avoids a server that fails a part of its requests
    Given a server that fails 50 in 100 requests, and two that take 1.3 and 2.0 times as long
    Then of 1000 requests that may go to no further server at most 10 go to the failing one

  Scenario Outline: a load header with figures that cannot be right
    When an answer states Damaskrill-Server-Load: <value>
    Then the answer's load is of <n> requests and <slots> slots, with a slowness of <slowness>

    Examples:
      | value                | n    | slots | slowness |
      | 3,1,6,250            | 4    | 6     | 2.5      |
      | 3,1,6,250,7,8        | 4    | 6     | 2.5      |
      | 3,1,6                | 4    | 6     | None     |
      | 3,1,6,               | 4    | 6     | None     |
      | 3,1,6,0              | 4    | 6     | None     |
      | 3,1,6,-250           | 4    | 6     | None     |
      | 3,1,6,nan            | 4    | 6     | None     |
      | 3,1,6,99999999999999 | 4    | 6     | None     |
      | 3                    | None | None  | None     |
      | -3,1,6,100           | None | None  | None     |
      | 99999999999,1,6,100  | None | None  | None     |

  Scenario: a read at a server that turned slow is answered by another one in time
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And the app servers state that work takes as usual
    And app server "a-1" is silent for 3000 ms
    When 4 callers send a read
    Then all statuses are 200
    And each reply arrived within 400 ms
    And no failure of an app server is counted

  Scenario: an action at a server that turned slow stays there
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And the app servers state that work takes as usual
    And app server "a-1" is silent for 700 ms
    When 4 callers send an issuance one after another
    Then every issuance has run once

  Scenario: early attempts leave a part of the retry budget to the more urgent
    Given a router whose retry budget allows 8 more retries
    Then early attempts of priority 0, 1 and 2 may use 6, 4 and 2 of them

  Scenario: operators see how long work takes at a server and why it was passed over
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready and places requests on its own
    And the app servers state that work takes as usual
    And app server "a-1" states that work takes 9 times as long
    When 12 callers send a read
    Then the log tells once that "a-1" was passed over because it is "slow"
    And the metric of its slowness is 9.0
