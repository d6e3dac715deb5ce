Feature: What callers make a router hold is bounded
  Loads are replayed on the deciders with a time of their own, and on one router.

  Scenario: of many bodies that stop short of their end, those that wait longest go
    Given an account of 40 MB
    When 100 bodies of 2 MB are asked for, and none of them ends
    Then at most 30 MB are held, and 15 bodies have memory
    When 1100 ms have passed
    Then the 15 bodies without progress were given up as "slow_caller"
    And 15 other bodies have memory

  Scenario: many uploads in calm have memory one after another
    Given an account of 40 MB
    When 100 bodies of 2 MB are asked for, and each ends after 5 ms
    Then each of them had memory, and none was given up

  Scenario: a body that waits too long is given up
    Given an account of 40 MB
    When 16 bodies of 2 MB are asked for, and all are served for long
    And 1100 ms have passed
    Then 1 body was given up as "memory_wait"

  Scenario: an ordinary request has room beside large ones
    Given an account of 40 MB
    When 100 bodies of 2 MB are asked for, and none of them ends
    Then 70 bodies of 110 KB have memory at once

  Scenario: a single body larger than the account's share has room
    Given an account of 8 MB
    When 1 body of 8 MB is asked for
    Then it has memory at once

  Scenario: answers that are not read go, the largest and slowest first
    Given an account of 40 MB
    When 300 answers of 200 KB are not read, and 1 of 300 KB is read slowly
    Then at most 40 MB are held
    And the answer that is read was not given up

  Scenario Outline: bounds follow the host's memory and descriptors
    Given a host with <memory> MB and <descriptors> descriptors
    Then callers may hold <bytes> bytes on <connections> connections

    Examples: the smallest hosts, a middle one and the largest one of the sites
      | memory | descriptors | bytes     | connections |
      | 152    | 2870        | 35200000  | 1611        |
      | 160    | 4100        | 38400000  | 1757        |
      | 300    | 4100        | 94400000  | 2925        |
      | 552    | 8192        | 195200000 | 5994        |

  Scenario: reviews go on after one of them has failed
    Given a guard whose account has a body that waits
    When a review fails
    Then another review is due

  Scenario: bounds that are no finite numbers are refused
    Then settings with a memory of "nan", "inf" or "much" are refused

  Scenario: the longest idle connections go first, and no new one
    Given a bound of 100 connections
    When 100 connections are open that have been idle for 1 to 100 s
    And 10 more are opened
    Then the 10 that were idle longest are closed, and no new one is

  Scenario: a connection that has become busy is not dropped
    Given a bound of 20 connections
    When an idle connection becomes busy between two looks
    Then it is not dropped

  Scenario: a steady slow upload is served
    Then 60 KB at 2 KB/s with an idle timeout of 5 s are read to the end

  Scenario: a body that comes a byte at a time ends
    When a caller sends a byte of its body each 1.9 s with an idle timeout of 2 s
    Then it is read for no more than 3 s

  Scenario: work of one connection does not hold the others
    Given two connections with 5 turns each
    When their turns run
    Then each iteration of the event loop ran one of them, in alternation
    And a body that has waited for memory goes before them

  # The refused connections of a crowd waited for turns that came ever later.
  Scenario: connections that were refused or dropped wait for no turn and keep nothing
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 152 MB of memory
    When 40 callers send bodies of 60 KB in chunks of a byte, and no turn comes
    Then 40 turns are queued
    When the router refuses half of these callers and drops the others
    Then no turn is queued, and the connections keep no bytes

  Scenario: a cause gets one line a second with the count of the rest
    When a caller is rejected each 10 ms for 3 s
    Then there are 3 or 4 lines, which count 300 events

  Scenario: uploads in calm beyond the memory are all served
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 72 MB of memory
    When 12 callers send bodies of 1 MB at the same time
    Then each of them gets 200
    And no more than 8 MB were held

  Scenario: a body for which there is no memory is refused and not run
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 72 MB of memory
    When its memory is held by others, and a caller sends a body of 1 MB
    Then the caller gets 503 with a Retry-After, and no server ran it

  Scenario: requests sent ahead are answered in order as the answers are read
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 72 MB of memory
    When a caller sends 12 requests ahead, and reads after 500 ms
    Then it gets 12 complete answers in their order
    And no more than 1 MB were held

  Scenario: a body in tiny chunks that takes too long is refused while it is sent
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 152 MB of memory
    When a caller sends chunks of a byte without end, each 50 ms
    Then it gets 408 after 2 to 5 s, and no server ran it

  Scenario: bodies that go through a peer count at both routers
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 2 gateways that know each other
    And the first gateway has no path to the servers
    When 8 callers send bodies of 90 KB to the first gateway
    Then each of them gets 200
    And each of the 2 routers has held at least 180 KB, and holds nothing now

  Scenario: the interface for readiness is bounded too
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 152 MB of memory
    When 100 connections to its readiness address are opened and send nothing
    Then at most 40 of them are open, and a readiness check is answered after 1.1 s

  Scenario: an error in a turn ends the connection
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 152 MB of memory
    When its handler fails, and a caller sends a body of 100 chunks
    Then the caller is disconnected, and no connection counts as busy

  Scenario Outline: uploads in calm at ordinary speeds are all served
    Given a platform with 2 app servers and bodies of up to 4 MB
    And a router with <memory> MB of memory
    When <n> callers send bodies of <size> KB in <framing>, with <pause> ms of pauses
    Then each of them gets 200

    Examples: chunks of 500 bytes, and links of 1 to 8 MB/s with a pause
      | memory | n | size | framing             | pause |
      | 152    | 6 | 4000 | chunks of 500 bytes | 0     |
      | 152    | 8 | 4000 | parts of 64 KB      | 1500  |
      | 152    | 8 | 4000 | parts with a stop   | 700   |

  Scenario: heads with very many headers count
    Given a platform with 2 app servers and bodies of up to 4 MB
    And a router with 152 MB of memory
    When 10 callers send heads of 2200 headers and no body
    Then at least 5 MB were held, and nothing is held when they have gone

  Scenario: the end of a connection with bytes sent ahead is noticed
    Given a platform with 2 app servers that answer with 300 KB
    And a router with 152 MB of memory
    When a caller sends a request and 100 KB ahead, and disconnects
    Then its request's handler learns of it within 1 s

  Scenario: a running request is not dropped for bytes sent ahead
    Given an account of 40 MB
    When a request runs with 100 KB sent ahead, and others need the memory
    Then the others were given up, and not the running one

  Scenario: a caller that reads nothing of a whole answer is disconnected
    Given a platform with 2 app servers that answer with 7900 KB
    And a router with 152 MB of memory
    When a caller sends 1 request and reads nothing for 5 s
    Then the router has no connection and holds nothing
