Feature: The gateway's decisions, each under the load that it answers
  Scenario Outline: a cold server gets no more than it bears from the whole fleet
    Given <n> routers that know each other and a cold server that bears 10 a second
    When all of them have work for it for 5 seconds in 200 seeded runs
    Then in no second of any run does it get more than 20 requests
    And it gets work in every run

    Examples:
      | n  |
      | 3  |
      | 7  |
      | 30 |
      | 77 |

  Scenario: routers that have just started hold back at a cold server
    Given 7 routers that do not know each other yet and a cold server that bears 13 a second
    When all of them have work for it for 2 seconds in 200 seeded runs
    Then in no second of any run does it get more than 24 requests

  Scenario Outline: a service that fails for all is not flooded with repeats
    Given <n> routers that share a budget of 0.2 and 54 in 10 seconds
    When every one of 400 requests a second fails for 30 seconds
    Then in no 10 seconds are there more repeats than the budget

    Examples:
      | n  |
      | 1  |
      | 7  |
      | 77 |

  Scenario: a server that fails part of its requests is left out, and comes back
    Given a server of which 45 of 100 requests fail and two that are good
    When 60 requests a second go to those that are not left out for 20 seconds
    Then the failing server gets at most 15 of 100 requests
    When it is good for 20 seconds more
    Then it gets at least 15 of 100 requests again

  Scenario: a server that cannot be reached is left out at once
    Given a server that refuses a connection
    Then it is left out for at least 1000 ms

  Scenario: one failure among many good answers leaves nothing out
    Given a server of which 5 of 100 requests fail
    When 1000 requests go to it
    Then it has never been left out

  Scenario: requests of one dossier meet one engine until it has too much
    Given 5 engines without load
    When 40 requests for one dossier come one after the other
    Then all go to one engine
    When 40 requests for one dossier come at once
    Then no engine holds more than 1.8 times the mean plus 4
    And they go to the first engines of the order that all routers share

  Scenario: few keys move when an engine comes
    Given 5 engines without load
    When a sixth engine comes
    Then at most 25 of 100 dossiers move

  Scenario: a plain request stays in its data centre while there is room
    Given a server in each of three data centres
    When 2 requests come at once
    Then both go to the own data centre
    When 12 requests come at once
    Then the loads differ by at most 2

  Scenario: a prefix is copied from where it was before
    Given 5 engines without load
    When a dossier's engine has just come
    Then the prefix is copied from the engine that had the dossier before
    When a dossier spills to the next engine
    Then the prefix is copied from its first engine
    When the engine is known to have read the dossier
    Then nothing is copied

  Scenario: what may be sent again
    Then these attempts may go on as told
      | kind         | resumable | servers | sent | end            | again |
      | at_most_once | no        | 2       | 1    | may_have_run   | no    |
      | at_most_once | no        | 2       | 1    | not_run        | yes   |
      | at_most_once | no        | 1       | 1    | not_run        | no    |
      | at_most_once | no        | 1       | 0    | not_sent       | yes   |
      | repeatable   | no        | 2       | 1    | may_have_run   | yes   |
      | repeatable   | no        | 2       | 1    | error_answer   | yes   |
      | repeatable   | no        | 2       | 2    | may_have_run   | no    |
      | stream       | no        | 2       | 1    | may_have_run   | no    |
      | stream       | yes       | 2       | 1    | may_have_run   | yes   |

  Scenario: events are cut at their ends whatever the parts
    When a stream of 50 events comes in 300 random cuts
    Then each part that is passed on ends with a whole event
    And the last event's number is read

  Scenario: messages between routers survive their encoding, and rubbish is refused
    Then every kind of message is the same after encoding and decoding
    And 500 random messages are refused with a typed error
    And a load that a server states beyond all measure is told as the largest number
    And news that are cut off or of other types are refused with a typed error

  Scenario Outline: readers are few, in different data centres, and known to all
    Given <n> routers in <n_centres> data centres
    Then 2 of them read the store
    And they stand in <n_reader_centres> data centres
    And the links join all routers

    Examples:
      | n  | n_centres | n_reader_centres |
      | 2  | 1         | 1                |
      | 7  | 3         | 2                |
      | 77 | 3         | 2                |
      | 72 | 5         | 2                |

  Scenario: a log whose reader does not read slows nothing
    Given a pipe that nobody reads
    When 5000 lines are written to it
    Then it took less than 2000 ms
    And the lines that were left out are counted

  Scenario: a server whose connection went silent is left out at once
    Given a server that acknowledges nothing on a connection
    Then it is left out for at least 1000 ms

  Scenario Outline: a late answer has one cause
    Given an answer sent after <sent> ms, first seen after <first> ms, paused for <pause> ms
    Then with a target of 400 ms, pauses of 300 ms and <tries> tries it is <cause>

    Examples:
      | sent | first | pause | tries | cause                  |
      | 5    | 400   | 300   | 1     | in time                |
      | 5    | 460   | 0     | 1     | late_slow_server       |
      | 390  | 440   | 0     | 1     | late_waited_for_server |
      | 390  | 440   | 0     | 2     | late_tried_again       |
      | 390  | 900   | 0     | 2     | late_slow_server       |
      | 5    | 100   | 301   | 1     | late_paused_stream     |

  Scenario: work for a region stays in it
    Given servers in two regions and a route and a team with regions of their own
    Then only servers in regions of both get the team's requests
    And a request that neither binds may go to all

  Scenario: a dossier that all ask for does not overload its engine behind many routers
    Given 77 routers before 30 engines that tell each other each 200 ms what servers said
    When 190 requests a second of 700 ms come for 10 s, 15 of 100 for one dossier, 8 times
    Then at most 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: the same load without the routers' news is too much for the engine
    Given 77 routers before 30 engines that tell each other nothing
    When 190 requests a second of 700 ms come for 10 s, 15 of 100 for one dossier, 8 times
    Then more than 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: what a server said goes once over each link, also when it comes late
    Given three routers in a row that know two servers
    When a server answers the first router and the other one the middle router 30 ms later
    And the routers tell each other 10 times, each time 4 ms on the way
    Then the last router knows both loads
    And each link has carried each statement at most once

  Scenario: with a third of the engines out, arrivals stay within twice the mean of all
    Given 77 routers before 30 engines that tell each other each 100 ms what servers said
    When 104 requests a second come for 11 s and 10 engines may get nothing, 6 times
    Then at most 3 of 100 requests reach an engine above 2 times the mean plus 3

  Scenario: with a third of the engines out, the rest stay within twice the mean of all
    Given 30 engines of which 10 may get nothing
    When 300 requests run, 23 of them at one engine, and its dossier is asked for
    Then no engine holds more than 2 times the mean of all 30 plus 3
