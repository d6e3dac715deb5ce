Feature: Decisions of the gateway, each under the load pattern that it handles
  Scenario Outline: a cold server gets no more requests from the fleet than it can handle
    Given <n> routers that have discovered each other and a cold server that can handle 10 requests per second
    When all of them have requests for it for 5 seconds in 200 seeded runs
    Then in no second of any run does it get more than 20 requests
    And it gets requests in every run

    Examples:
      | n  |
      | 3  |
      | 7  |
      | 30 |
      | 77 |

  Scenario: routers that have just started limit their requests to a cold server
    Given 7 routers that have not discovered each other yet and a cold server that can handle 13 requests per second
    When all of them have requests for it for 2 seconds in 200 seeded runs
    Then in no second of any run does it get more than 24 requests

  Scenario Outline: a server that states a limit gets no more requests from the fleet
    Given <n> routers that have discovered each other and a server that states a limit of <rate> requests per second
    When they have requests for it for 12 seconds in 200 seeded runs
    Then in no 4 seconds of any run does it get more than it states, at most <most>
    And it gets at least <fewest> requests in every run

    Examples:
      | n   | rate | most | fewest |
      | 2   | 1.5  | 6    | 12     |
      | 7   | 3.1  | 12   | 24     |
      | 7   | 0.2  | 1    | 2      |
      | 7   | 0    | 1    | 1      |
      | 77  | 3.1  | 12   | 24     |
      | 195 | 40   | 160  | 320    |

  Scenario Outline: a service that fails for all callers is not flooded with retries
    Given <n> routers that share a retry budget with a ratio of 0.2 and a slack of 54 in 10 seconds
    When 400 requests per second all fail for 30 seconds
    Then no window of 10 seconds has more retries than the budget allows

    Examples:
      | n  |
      | 1  |
      | 7  |
      | 77 |

  Scenario: a server that fails a fraction of its requests is ejected and later readmitted
    Given a server that fails 45 of 100 requests and two healthy servers
    When 60 requests per second are sent to servers that are not ejected for 20 seconds
    Then the failing server gets at most 15 of 100 requests
    When it is healthy for another 20 seconds
    Then it gets at least 15 of 100 requests again

  Scenario: an unreachable server is ejected immediately
    Given a server that refuses a connection
    Then it is ejected for at least 1000 ms

  Scenario: occasional failures do not eject a server
    Given a server that fails 5 of 100 requests
    When 1000 requests are sent to it
    Then it has never been ejected

  Scenario: requests for one dossier are sent to one engine up to its load bound
    Given 5 engines without load
    When 40 requests for one dossier arrive one after another
    Then all are sent to one engine
    When 40 requests for one dossier arrive simultaneously
    Then no engine has more requests than 1.8 times the mean plus 4
    And they are sent to the first engines in rendezvous order

  Scenario: few keys move when an engine joins
    Given 5 engines without load
    When a sixth engine joins
    Then at most 25 of 100 dossiers move

  Scenario: a plain request stays in its data centre while capacity is free
    Given a server in each of three data centres
    When 2 requests arrive simultaneously
    Then both are sent to the local data centre
    When 12 requests arrive simultaneously
    Then the loads differ by at most 2

  Scenario: a prefix is copied from the engine that had it before
    Given 5 engines without load
    When the engine of a dossier has just joined
    Then the prefix is copied from the engine that had the dossier before
    When a dossier spills over to the next engine
    Then the prefix is copied from its first engine
    When the engine is known to have processed the dossier
    Then nothing is copied

  Scenario: requests that may be retried
    Then these requests may be retried as listed
      | kind         | resumable | servers | sent | end          | retry |
      | at_most_once | no        | 2       | 1    | may_have_run | no    |
      | at_most_once | no        | 2       | 1    | not_run      | yes   |
      | at_most_once | no        | 1       | 1    | not_run      | no    |
      | at_most_once | no        | 1       | 0    | not_sent     | yes   |
      | repeatable   | no        | 2       | 1    | may_have_run | yes   |
      | repeatable   | no        | 2       | 1    | error_answer | yes   |
      | repeatable   | no        | 2       | 2    | may_have_run | no    |
      | stream       | no        | 2       | 1    | may_have_run | no    |
      | stream       | yes       | 2       | 1    | may_have_run | yes   |

  Scenario: stream chunks are cut at event boundaries
    When a stream of 50 events is split at random in 300 runs
    Then each chunk that is forwarded ends with a complete event
    And the last event's number is parsed

  Scenario: messages between routers are encoded without loss, and invalid ones are refused
    Then every kind of message is unchanged after encoding and decoding
    And 500 random messages are refused with a typed error
    And a reported load beyond the largest number is sent as the largest number
    And gossip that is truncated or has wrong types is refused with a typed error

  Scenario Outline: all routers agree on a few store readers in different data centres
    Given <n> routers in <n_centres> data centres
    Then 2 of them read the store
    And they are in <n_reader_centres> data centres
    And the links connect all routers

    Examples:
      | n  | n_centres | n_reader_centres |
      | 2  | 1         | 1                |
      | 7  | 3         | 2                |
      | 77 | 3         | 2                |
      | 72 | 5         | 2                |

  Scenario: a log that nobody reads does not block its writer
    Given a pipe that nobody reads
    When 5000 lines are written to it
    Then it took less than 2000 ms
    And the dropped lines are counted

  Scenario: a server that stops acknowledging data is ejected immediately
    Given a server that acknowledges no data on a connection
    Then it is ejected for at least 1000 ms

  Scenario Outline: a late answer has one cause
    Given an answer requested after <sent> ms, first received after <first> ms, paused for <pause> ms
    Then with a target of 400 ms, pauses of 300 ms and <attempts> attempts it is <cause>

    Examples:
      | sent | first | pause | attempts | cause                  |
      | 5    | 400   | 300   | 1        | in time                |
      | 5    | 460   | 0     | 1        | late_slow_server       |
      | 390  | 440   | 0     | 1        | late_waited_for_server |
      | 390  | 440   | 0     | 2        | late_tried_again       |
      | 390  | 900   | 0     | 2        | late_slow_server       |
      | 5    | 100   | 301   | 1        | late_paused_stream     |

  Scenario: requests restricted to a region stay in it
    Given servers in two regions, and a route and a team restricted to regions
    Then only servers in regions allowed by both get the team's requests
    And a request without restrictions may be sent to all servers

  Scenario: a dossier that many callers request does not overload its engine behind many routers
    Given 77 routers in front of 30 engines that exchange load reports every 200 ms
    When 190 requests per second of 700 ms arrive for 10 s, 15 of 100 for one dossier, 8 times
    Then at most 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: the same load overloads the engine if the routers exchange no load reports
    Given 77 routers in front of 30 engines that exchange no load reports
    When 190 requests per second of 700 ms arrive for 10 s, 15 of 100 for one dossier, 8 times
    Then more than 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: each load report is sent once over each link, even if it arrives late
    Given three routers in a chain that have registered two servers
    When one server answers the first router and the other server the middle router 30 ms later
    And the routers exchange reports 10 times with a network delay of 4 ms
    Then the last router has both loads
    And each link has carried each report at most once

  Scenario: with a third of the engines out, arrivals stay within twice the mean of all
    Given 77 routers in front of 30 engines that exchange load reports every 100 ms
    When 104 requests per second arrive for 11 s and 10 engines may get no requests, 6 times
    Then at most 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: with a third of the engines out of service, the others stay within twice the mean of all
    Given 30 engines of which 10 may get no requests
    When 300 requests run, 23 of them at one engine, and its dossier is requested
    Then no engine has more requests than 2 times the mean of all 30 plus 3
