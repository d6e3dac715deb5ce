Feature: Gateways follow the store, directly and through each other
  Scenario: a gateway without a configuration refuses requests
    Given a platform whose store is empty
    And a gateway that has started
    When a caller sends a read
    Then the status is 503

  Scenario Outline: a failing store does not interrupt service
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When the store becomes <mode> for 1500 ms
    And 6 callers send a read
    Then all statuses are 200
    When the store recovers and app server "a-1" starts draining
    Then the gateway lists "a-1" as draining within 3000 ms

    Examples:
      | mode      |
      | busy      |
      | many      |
      | silent    |
      | reset     |
      | rubbish   |
      | compacted |

  Scenario: in a large fleet no gateway has links to all others
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 16 gateways in two data centres that start at the same time
    Then within 8000 ms each has discovered all 16 and the 3 seeds have fewer than 12 links
    And within 3000 ms no more than 3 of them call the store
    When a caller sends a chat
    Then within 2000 ms all 16 know which engine has its prefix and what load it stated

  Scenario: a gateway whose task fails logs it and stops, to be restarted
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When its task for the links between routers fails
    Then the log contains "task_failed" and the gateway is requested to stop

  Scenario: a gateway that cannot reach the store gets its state from a peer
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When a second gateway starts that cannot reach the store
    Then the second gateway is ready within 3000 ms
    When app server "a-1" starts draining
    Then the second gateway lists "a-1" as draining within 1500 ms

  Scenario: invalid entries in the store add no server and do not affect service
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When invalid entries of another writer are stored
    And an invalid configuration is stored
    And 6 callers send a read
    Then all statuses are 200
    And the log contains "server_entry_refused" and "configuration_refused"

  Scenario: an entry that expired while the store was unavailable is retained after its return
    Given a catalog with server "a-1" whose store returned at 10000 ms
    When the entry expires at 10100 ms
    Then the server is usable at 11000 ms
    And the server is removed at 12400 ms

  Scenario: an entry that expires while the store is available is removed immediately
    Given a catalog with server "a-1" whose store returned at 10000 ms
    When the entry expires at 20000 ms
    Then the server is removed at 20000 ms

  Scenario: a replica applies changes in the order of their revisions
    Given an empty replica of the store
    When changes of one key arrive with revisions 5, 3 and 7 in this order
    Then the replica contains the change of revision 7
    When a list as of revision 9 arrives without the key
    Then the replica is empty
    And the change of revision 6 does not restore the key

  Scenario Outline: a change between the pages of a list reaches a peer at its position
    # Guards against a peer that lacks a change for good and counts itself complete.
    Given two replicas at revision 10 of a store with an item "cfg"
    When the one reads <list> as of revision 10 to which "cfg" has been written at 11
    And the one reads the changes after it up to revision 12
    And the other gets what the one sends to a peer at revision 10
    Then both replicas have the same items

    Examples:
      | list                  |
      | a list                |
      | a list of a later era |

  Scenario: changes that follow a list do not let its log begin earlier than it does
    Given a replica whose list as of revision 10 has an item of revision 5000
    When 2500 more changes follow
    Then a peer at each revision gets all later changes or all items

  Scenario: a peer that is behind gets changes, or all items if they are discarded
    Given an empty replica of the store
    When a list as of revision 20 and 2500 changes arrive
    Then the changes after revision 2000 bring a peer there to the same items
    And the changes after revision 21 cannot be sent

  Scenario: a gateway that starts while the store is unavailable is ready soon after its return
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started
    When the store recovers after 4000 ms
    Then the gateway is ready within 350 ms

  Scenario: a request that arrives during start-up waits for the configuration
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started
    When a caller sends a read and the store recovers 80 ms later
    Then the status is 200

  Scenario: a request at start-up is held for longer than the longest pause between two calls
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started and makes the longest pauses between calls
    When a caller sends a read 80 ms after the first call and the second is refused too
    Then the status is 200

  Scenario: a contact that a peer reports late does not count as a return of the store
    Given a router whose last contact with the store was at 1000 ms
    When a peer reports at 6000 ms a contact at 1003 ms
    Then the store has not returned
    When a peer reports at 7000 ms a contact at 6990 ms
    Then the store has returned

  Scenario: a replica is stale after a suspension of the host
    Given a router whose last contact with the store was at 1000 ms
    When the process detects that its host was suspended
    Then the replica is not fresh at 1001 ms
    And a contact at 1002 ms makes it fresh at 1003 ms

  Scenario: a server at whose address a newer one has started gets no new requests
    Given a catalog with a server "a-1" that started at 1000 at an address
    When server "a-2" that started at 2000 at the same address is stored
    Then only "a-2" of them is usable
    When server "a-2" is removed
    Then only "a-1" of them is usable

  Scenario: an older entry at an address does not affect the newer server
    Given a catalog with a server "a-2" that started at 2000 at an address
    When server "a-1" that started at 1000 at the same address is stored
    Then only "a-2" of them is usable

  Scenario: an entry of an unknown service does not hide the server at its address
    # Guards against another writer's entry that takes a real server out of use.
    Given a catalog with a server "a-1" that started at 1000 at an address
    And operators who know its service only
    When an entry "x-1" of service "inventory" that started at 9000 names its address
    Then only "a-1" of them is usable for its service
    When the operators' next version knows the service "inventory" too
    Then no server of its service is usable

  Scenario Outline: loads are published more often while a large part of the engines is unavailable
    Given a catalog with 6 engines in each of <n> data centres
    Then no large part is unavailable
    When one of the data centres is taken out of service
    Then a large part is unavailable: <is_unavailable>

    Examples:
      | n | is_unavailable |
      | 3 | yes            |
      | 5 | no             |

  Scenario: a peer's contact with the store does not count without the changes that it covers
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When a second gateway starts that cannot reach the store
    Then the second gateway is ready within 3000 ms
    When changes no longer reach the second gateway and app server "a-1" starts draining
    Then within 2500 ms the second gateway's replica is stale

  Scenario: a caller who connects while a router still imports its libraries is served
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    When a router process starts and a caller connects as soon as it can
    Then the caller was connected before the router had started, and gets 200

  Scenario Outline: a signal that arrives while a router still imports ends no connection
    # Guards against a reload that ends a router which has just been started.
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    When a router process gets <signal> as soon as a caller can connect
    Then the caller gets <statuses>, and the process <end>

    Examples:
      | signal  | statuses   | end                |
      | SIGHUP  | 200        | runs on            |
      | SIGTERM | 200 or 503 | ends in good order |

  Scenario: two routers that dial each other at the same time keep one link
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And two gateways that have not discovered each other
    When they dial each other at the same time, 20 times in a row
    Then each time they have one link within 500 ms and no link was lost

  Scenario: a contact with the store does not become newer while it circulates
    Given 6 routers in a ring that tell each other the newest contact with the store
    When the last contact is at 1000 ms, and each message takes 20 ms
    Then all are stale at 2400 ms
