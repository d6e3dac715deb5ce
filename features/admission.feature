Feature: The owner keeps each server within its load bound and gives causes for refusals
  One router owns one server of "dossier-review"; offers come from another router.

  Scenario: the bound has a minimum for small loads
    Then the bound for a load sum of 0 over 5 servers is 2
    And the bound for a load sum of 40 over 5 servers is 10
    And the bound for a load sum of 41 over 5 servers is 11

  Scenario: requests left running by a former owner count from the report on
    Given a server with 3 requests of its owner sent before a report of 5
    When 2 requests of its owner end
    Then its load counts 3

  Scenario: requests that ended after a delayed report no longer count
    Given a server with 3 requests of its owner sent before a report of 3
    When 2 requests of its owner end
    Then its load counts 1

  Scenario: the bound of a cold server rises with its finished requests
    Given a ramp from 2 to 16
    Then the ramp allows 2
    When 12 requests finish
    Then the ramp allows 5

  Scenario Outline: an unannounced cold start is detected by <sign>
    Given a ramp from 2 to 16
    When 40 requests finish
    And the server starts cold, shown by <sign>
    Then the ramp allows 2

    Examples:
      | sign               |
      | start ID           |
      | finished count     |
      | load of zero       |
      | connection reset   |
      | first-token times  |

  Scenario: a connection reset without a restart is revoked by a report
    Given a ramp from 2 to 16
    When 40 requests finish
    And the server starts cold, shown by connection reset
    And a later report shows the same start ID and 40 finished requests
    Then the ramp allows 12

  Scenario: the bound of a flapping server rises more slowly after each restart
    Given a ramp from 2 to 16
    When the server flaps 4 times and finishes 32 requests after each
    Then the ramp allowed less after each flap

  Scenario: the circuit of a failing server opens and is probed with one request
    Given the circuit breaker of a server
    When 3 consecutive requests fail
    Then nothing is sent for 1000 ms
    And one probe passes, and its failure doubles the open time

  Scenario: slow tokens lower the limit and fast ones raise it
    Given a concurrency limit of 16
    When 200 answers have slow tokens
    Then the limit is below 8
    When 400 answers have fast tokens
    Then the limit is 16 again

  Scenario: a paused router refuses every request
    Given an owner of one server
    When its view is no longer trusted
    And another router offers 1 request
    Then the offers were refused because of "paused"

  Scenario: the smaller side of a network partition uses only its share
    Given an owner of one server
    When it reaches 2 of 7 routers
    And another router offers 6 requests
    Then 1 of the offers were dispatched

  Scenario: a new owner waits for a report before it sends anything
    Given an owner of one server that has just been taken over
    When another router offers 1 request
    Then 0 of the offers were dispatched
    When a load report of 1 arrives
    Then 1 of the offers were dispatched

  Scenario: a repeated offer is accepted once, and one cancelled before is ignored
    Given an owner of one server
    When the same offer arrives twice and another arrives after its cancellation
    Then 1 of the offers were dispatched

  Scenario: a request that would miss its deadline is refused immediately
    Given an owner of one server
    When another router offers 2 requests
    And it offers one that has 50 ms left
    Then the last offer was refused immediately because of "deadline"

  Scenario: a full queue refuses the newest request of the team with the most entries
    Given an owner of one server
    When a surging team fills the queue and a request of another team arrives
    Then the surging team's newest request was refused because of "surge"
    And the request of the other team is served first when a slot is free

  Scenario: the higher priority is served first
    Given an owner of one server
    When another router offers 2 requests
    And requests of priority 7 and 1 wait
    Then the request of priority 1 is served first when a slot is free

  Scenario: the number of tracked teams is bounded
    When 44000 teams have each had one request on a server
    Then at most 65 teams are tracked

  Scenario: the number of stored chats and cached blocks is bounded
    When 100000 chats have spilled and 100000 blocks were stored
    Then at most 8192 chats and 4096 blocks are stored

  Scenario: gaps in cache events and late events are handled
    Given a cache index with blocks 1 to 9
    When an event with a gap removes block 5, and an older one arrives late
    Then 4 leading blocks are known
    When 9 further gaps pass without any confirmation
    Then 0 leading blocks are known
