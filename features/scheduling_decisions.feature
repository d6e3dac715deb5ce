Feature: Decisions on slots, one event at a time
  A scheduler before two servers of two slots each, unless said otherwise.

  Scenario: slots go to the more urgent, then to those with the least time left
    Given a service with 2 servers of 2 slots
    When requests 1 to 4 ask
    And request 5 of priority 2 asks
    And request 6 of priority 1 asks with 1000 ms left
    And request 7 of priority 1 asks with 500 ms left
    Then the requests 1 to 4 have slots and the others wait
    When the requests 1, 2 and 3 end one after the other
    Then the requests 7, 6 and 5 get slots in this order

  Scenario: what cannot start in time is refused at once
    Given a service with 2 servers of 2 slots
    When 400 requests ask at once
    Then each has a slot, waits, or is refused at the same moment
    And the refused ones may come back at different times within a third of their limit

  Scenario: a request that is kept is not refused when more urgent ones come
    Given a service with 2 servers of 2 slots
    When requests 1 to 4 ask
    And request 5 of priority 2 asks
    And 50 requests of priority 0 ask
    And slots are released for 600 ms
    Then request 5 has got a slot

  Scenario: a request that can no longer be served after a loss is refused at once
    Given a service with 2 servers of 2 slots
    When 20 requests ask at once
    And all servers leave
    Then all that waited are refused for want of a server
    When a request ends at a server that has left
    Then nothing is assigned
    When the servers come back
    And request 60 asks
    Then request 60 has got a slot

  Scenario: an assignment that is not released expires
    Given a service with 1 server of 1 slots
    When requests 1 to 1 ask
    And nothing happens for 1900 ms
    And request 2 asks
    Then request 2 waits
    When nothing happens for 200 ms
    Then request 2 has got a slot

  Scenario: a lost release shows in the load that the server states
    Given a service with 1 server of 1 slots
    When requests 1 to 1 ask
    And nothing happens for 700 ms
    And server 1 states 0 requests
    And request 2 asks
    Then request 2 has got a slot
    When request 1 ends
    And request 3 asks
    Then request 3 waits

  Scenario: releases that come twice or for unknown requests change nothing
    Given a service with 1 server of 1 slots
    When requests 1 to 1 ask
    And request 99 ends
    And request 2 asks
    Then request 2 waits
    When request 1 ends
    And request 1 ends
    And request 3 asks
    Then request 2 has got a slot
    And request 3 waits

  Scenario: a request that is withdrawn gets no slot
    Given a service with 1 server of 1 slots
    When requests 1 to 2 ask
    And request 2 is withdrawn
    And request 1 ends
    Then request 2 waits
    And no slot is in use

  Scenario: a request that comes twice keeps its slot
    Given a service with 1 server of 2 slots
    When requests 1 to 1 ask
    And requests 1 to 1 ask
    Then one slot is in use

  Scenario: servers that may not run a request
    Given a service with 2 servers of 1 slots
    When request 1 asks, which server 1 may not run
    And request 2 asks, which server 2 may not run
    And request 3 asks, which no server may run
    Then request 1 is at server 2 and request 2 at server 1
    And request 3 is refused for want of a server

  Scenario: a scheduler that takes over does not fill servers whose load it does not know
    Given a takeover of a service with 1 server of 6 slots
    When requests 1 to 10 ask
    Then 2 slots are in use
    When server 1 states 6 requests
    And request 11 asks
    Then 2 slots are in use

  Scenario: a scheduler that takes over uses what the stated load leaves
    Given a takeover of a service with 1 server of 6 slots
    When server 1 states 4 requests
    And requests 1 to 10 ask
    Then 2 slots are in use
    When server 1 states 2 requests in each of 10 answers
    And nothing happens for 40 ms
    Then 6 slots are in use

  Scenario: a server that rejects a request gets no others at once
    Given a service with 2 servers of 2 slots
    When requests 1 to 1 ask
    And the server of request 1 rejects it
    And requests 2 to 3 ask
    Then no request is at the server that rejected one

  Scenario: requests that a server fails count as work
    Given a service with 1 server of 1 slots
    When 200 requests of 20 ms run one after the other, of which 3 of 4 fail
    Then a request is known to take 20 ms

  Scenario: the faster of two servers is chosen, and waited for if it answers earlier
    Given a service with 2 servers of 2 slots
    When server 1 states 0 requests and that work takes 8 times as long
    And server 2 states 0 requests and that work takes 1 times as long
    And requests 1 to 3 ask
    Then the requests 1 and 2 are at server 2
    And request 3 waits

  Scenario: nothing is refused while a slow server has room
    Given a service with 2 servers of 2 slots
    When server 1 states 0 requests and that work takes 8 times as long
    And server 2 states 0 requests and that work takes 1 times as long
    And 400 requests ask at once
    And nothing happens for 150 ms
    And all requests end or are withdrawn
    And server 1 states 0 requests and that work takes 8 times as long
    And requests 501 to 510 ask
    Then some of these are refused only if 4 slots are in use

  Scenario: an old load is enough for a scheduler that takes over to be careful
    Given a takeover of a service with 1 server of 6 slots
    When server 1 stated 6 requests 900 ms ago
    And requests 1 to 10 ask
    Then no slot is in use

  Scenario: figures that cannot be right are ignored
    Given a service with 2 servers of 2 slots
    When requests ask with times and priorities that cannot be right
    And servers state loads that cannot be right
    And requests 50 to 60 ask
    Then each of these has a decision
    When slots are released for 600 ms
    Then no more than 6 slots are in use

  Scenario: 44,000 teams beside a hot one, far more than the servers can run
    Given a service with 2 servers of 2 slots
    When 44000 teams send a request of 20 ms each within 10 s beside a hot team
    Then at most 256 teams are remembered
    And the hot team's refusals are for its share in 90 of 100 cases at least
    And those of the others in 1 of 100 cases at most
    And no request or release takes more than 6000 calls of functions

  Scenario: a short request on idle servers although most take longer than its limit
    Given a service with 1 server of 4 slots
    When 100 requests of 5000 ms have run one after the other
    And request 1 asks, with only 1000 ms left
    Then request 1 has got a slot

  Scenario: the time in which the scheduler was suspended is no work
    Given a service with 2 servers of 4 slots
    When 300 requests of 20 ms have run one after the other
    And requests 1 to 8 ask
    And the scheduler is suspended for 600000 ms
    And the requests 1 to 8 end
    And request 9 asks
    Then a request is known to take at most 25 ms
    And request 9 has got a slot

  Scenario: others' requests of ten minutes ago do not count again
    Given a service with 2 servers of 4 slots
    When server 1 states 6 requests in each of 30 answers
    And server 2 states 6 requests in each of 30 answers
    And nothing happens for 600000 ms
    And server 1 states 0 requests
    And server 2 states 0 requests
    And requests 1 to 8 ask
    Then 8 slots are in use

  Scenario: a scheduler that takes over is told old loads only
    Given a takeover of a service with 1 server of 6 slots
    When for 300 ms server 1 states 6 requests, each figure 200 ms old, while requests ask
    Then no slot is in use

  Scenario: a long request keeps its slot when the end of another one shows in the load
    Given a service with 1 server of 2 slots
    When 300 requests of 20 ms have run one after the other
    And requests 1 to 1 ask
    And nothing happens for 300 ms
    And requests 2 to 2 ask
    And nothing happens for 20 ms
    And request 2 ends with the load of 1 requests after it
    Then one slot is in use

  Scenario: requests on their way are not taken for lost ones
    Given a service with 1 server of 4 slots
    When 300 requests of 20 ms have run one after the other
    And requests 1 to 1 ask
    And nothing happens for 300 ms
    And requests 2 to 4 ask
    And server 1 states 1 requests
    Then 4 slots are in use

  Scenario: a slow first connection does not let a server be overfilled
    Given a service with 1 server of 4 slots
    When requests 1 to 1 ask
    And request 1 of 20 ms is released 1020 ms later
    And 1000 requests of priority 0 ask
    Then no more than 8 slots are in use

  Scenario: a number that is used again does not get a slot at a server that may not run it
    Given a service with 2 servers of 1 slots
    When request 1 asks, which server 2 may not run
    And request 1 asks, which server 1 may not run
    Then request 1 is at server 2
    And one slot is in use

  Scenario: a waiting request that asks again is told that it waits
    Given a service with 1 server of 1 slots
    When requests 1 to 2 ask
    And request 2 asks
    Then request 2 has been told twice that it waits

  Scenario: many requests wait that may not run at the only server with room
    Given a service with 6 servers of 4 slots
    When 300 requests of 20 ms have run one after the other
    And requests 1 to 24 ask
    And 1000 requests ask, which server 1 may not run
    And a request at server 1 ends
    Then that takes at most 3 calls for each request that waits

  Scenario: what is due is done although loads are stated all the time
    Given a service with 1 server of 1 slots
    When requests 1 to 2 ask
    And server 1 states 1 requests each 10 ms for 1600 ms
    Then no request waits

  Scenario: rejections of other days do not bar a server for longer
    When a server rejects a request on each of 6 days
    Then it gets no more than its slots for 2000 ms
