Feature: The owner admits no more than a server bears, and its refusals are plain
  One router owns one server of "dossier-review"; offers come from another router.

  Scenario: five servers and one request meet the minimum for tiny loads
    Then the bound for a load sum of 0 over 5 servers is 2
    And the bound for a load sum of 40 over 5 servers is 10
    And the bound for a load sum of 41 over 5 servers is 11

  Scenario: work that a former owner has left counts from the report
    Given a server with 3 own requests sent before a report of 5
    When 2 own requests end
    Then its load counts 3

  Scenario: a report that lags does not count ended work twice
    Given a server with 3 own requests sent before a report of 3
    When 2 own requests end
    Then its load counts 1

  Scenario: a cold server bears what its finished work shows
    Given a ramp from 2 to 16
    Then the ramp allows 2
    When 12 requests finish
    Then the ramp allows 5

  Scenario Outline: a cold turn without notice is noticed by <sign>
    Given a ramp from 2 to 16
    When 40 requests finish
    And the server turns cold, shown by <sign>
    Then the ramp allows 2

    Examples:
      | sign               |
      | start ID           |
      | finished count     |
      | load of nothing    |
      | connection reset   |
      | first-token times  |

  Scenario: a reset connection that was no restart is forgotten after a report
    Given a ramp from 2 to 16
    When 40 requests finish
    And the server turns cold, shown by connection reset
    And a later report shows the same start ID and 40 finished requests
    Then the ramp allows 12

  Scenario: a flapping server earns trust more slowly each time
    Given a ramp from 2 to 16
    When the server flaps 4 times and finishes 32 requests after each
    Then the ramp allowed less after each flap

  Scenario: a failing server is rested and tried with one request
    Given a circuit before a server
    When 3 requests in turn fail
    Then nothing is sent for 1000 ms
    And one trial passes, and its failure doubles the rest

  Scenario: late tokens lower the limit and timely ones raise it
    Given a concurrency limit of 16
    When 200 answers have late tokens
    Then the limit is below 8
    When 400 answers have timely tokens
    Then the limit is 16 again

  Scenario: a paused router admits nothing and says so
    Given an owner of one server
    When its view is no longer trusted
    And another router offers 1 request
    Then the offers were refused because of "paused"

  Scenario: the smaller side of a split fleet uses only its share
    Given an owner of one server
    When it reaches 2 of 7 routers
    And another router offers 6 requests
    Then 1 of the offers were dispatched

  Scenario: a new owner waits for a report before it sends anything
    Given an owner of one server that has just been taken over
    When another router offers 1 request
    Then 0 of the offers were dispatched
    When a load report of 1 comes
    Then 1 of the offers were dispatched

  Scenario: an offer that comes twice is taken once, and one cancelled before is not
    Given an owner of one server
    When the same offer comes twice and a cancelled one comes late
    Then 1 of the offers were dispatched

  Scenario: a request that would miss its deadline is refused at once
    Given an owner of one server
    When another router offers 2 requests
    And it offers one that has 50 ms left
    Then the last offer was refused at once because of "deadline"

  Scenario: a full queue sheds the team that has most in it
    Given an owner of one server
    When a surging team fills the queue and another team's request comes
    Then the surging team's newest request was refused because of "surge"
    And the other team's request goes first when a slot is free

  Scenario: the more urgent priority goes first
    Given an owner of one server
    When another router offers 2 requests
    And requests of priority 7 and 1 wait
    Then the request of priority 1 goes first when a slot is free

  Scenario: the memory of fairness is bounded whatever the number of teams
    When 44000 teams have each had one request on a server
    Then at most 65 teams are remembered

  Scenario: the memory of spilled chats and of cached blocks is bounded
    When 100000 chats have spilled and 100000 blocks were stored
    Then at most 8192 chats and 4096 blocks are remembered

  Scenario: cache events are corrected for gaps and lateness
    Given a cache index with blocks 1 to 9
    When an event with a gap removes block 5, and an older one comes late
    Then 4 blocks from the beginning are known
    When 9 further gaps pass without any confirmation
    Then 0 blocks from the beginning are known
