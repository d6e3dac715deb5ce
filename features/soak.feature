Feature: The soak test injects seeded faults into real router processes
  Scenario: the plan of a seed is always the same and its faults overlap
    When the plans of 50 seeds are built twice
    Then both builds are the same
    And every kind of fault occurs, and some overlap
    And planned work begins while sound servers are silent or send unframed answers
    And routers are killed, stopped and paused in series while a service fails
    And seed 1 keeps the entries that it has always had

  Scenario: no guarantee is violated with a few seeds
    When the soak runs seeds 1 to 2 with 3 routers for 7 seconds
    Then no guarantee is violated
    And faults were injected and requests served

  Scenario Outline: no guarantee is violated with a seed that once found a fault
    When the soak runs seed <seed> with 3 routers for <n> seconds <addition>
    Then no guarantee is violated
    And faults were injected and requests served

    Examples:
      | seed | n  | addition           |
      | 4    | 12 | in full            |
      | 5    | 12 | in full            |
      | 1    | 24 | with a fatal part  |

  Scenario Outline: no guarantee is violated while routers come and go and services fail
    # Before the retry budget was kept across restarts, seed 119 found 129 repeats of
    # 105.6 allowed; with seed 22 two software versions serve.
    When the soak runs seed <seed> with 7 routers for <n> seconds in full
    Then no guarantee is violated
    And faults were injected and requests served

    Examples:
      | seed | n  |
      | 119  | 15 |
      | 22   | 12 |

  Scenario: no guarantee is violated while a request crashes each server that runs it
    When the soak runs seed 2 with 3 routers for 16 seconds with a fatal request
    Then no guarantee is violated
    And faults were injected and requests served

  Scenario: the checks find each kind of violation
    Then an action that ran twice is found
    And a refusal of an action that has run is found
    And a read that ran at more servers than its route allows is found
    And an answer to another request is found
    And an answer with a status that HTTP does not know is found
    And a stream with a missing event is found
    And an event that comes twice, or other bytes, in a stream are found
    And a stream that was taken up and does not go on where it ended is found
    And a stream of two software versions is found, in an answer and over the tries
    And streams that were taken up and go on much less often than new ones are found
    And they are excused only by routers out of touch
    And more repeats of a service than its budget are found
    And servers that were given more time than was left are found
    And kept connections that were closed with requests passed on are found
    And they are excused by a disturbed server, not by the store alone
    And a request at a server long after its leaving notice is found
    And a router without a route that was added in time is found
    And a router that serves a route that was removed in time is found
    And such routers are excused by faults of their own and of the store only
    And only a router that has started since an announcement is excused
    And requests in a pause are found unless their router has started since
    And requests beyond a stated limit are found
    And a request that planned work interrupted is found
    And a request that ended early at a silent server is found
    And a request that ended early at a misbehaving server is excused
    And a request whose server outlasts a router's grace period is excused
    And too many fatal requests are found
    And sound requests that are not served after such crashes are found

  Scenario: each excuse of a router holds for that router, and for as long as it is due
    Then a router is in touch some time after its start, kill, pause or stop only
    And a router that is cut off from the servers is in touch
    And trouble of the store excuses a router only where it counts

  Scenario: a link that has lost bytes delivers nothing later
    When a link loses a chunk of a stream and works again
    Then its reader gets nothing after the loss

  Scenario: the host of a server that has crashed refuses connections
    When a server of the soak crashes
    Then a connection to its address is refused

  Scenario: a process that is cut off is known by its ports
    When a process opens a connection
    Then its port is among those of the process until it is closed

  Scenario: a router is not killed for a stop that it was not asked for
    When a router is stopped while it has no process
    Then its next process is not killed at the end of the grace period

  Scenario: concurrent soak runs do not share addresses
    Then 2000 processes with consecutive IDs have distinct networks

  Scenario: invalid values are refused before any process starts
    Then "soak --seeds many" and "soak --routers 0" end with status 2
