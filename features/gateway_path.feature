Feature: A gateway takes callers' requests to the platform's servers and back
  The store and the servers are stand-ins on loopback that speak the platform's protocol.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario: a stream arrives whole and in order
    When a caller sends a chat
    Then the status is 200 and the body holds events 1 to 5 once each
    And the server got team "desk", its own name and no key

  Scenario: what only routers may set is dropped
    When a caller sends a chat with headers that only routers may set
    Then the server got none of their values

  Scenario: unknown keys, unknown paths and public answers
    When a caller sends a read with key "key-9"
    Then the status is 401
    When a caller sends a request to "/nowhere/x"
    Then the status is 404

  Scenario Outline: an action that fails is never sent twice
    Given both app servers misbehave by <fault>
    When a caller sends an issuance
    Then the status is <status>
    And the request has run <n_runs> times

    Examples:
      | fault           | status | n_runs |
      | full            | 503    | 0      |
      | moved           | 503    | 0      |
      | error           | 500    | 1      |
      | reset           | 502    | 1      |
      | cut             | 502    | 1      |
      | other_id        | 502    | 1      |
      | no_seal         | 502    | 1      |
      | encoded         | 502    | 1      |
      | no_length_reset | 502    | 1      |
      | rubbish         | 502    | 1      |
      | no_length       | 200    | 1      |
      | second_answer   | 200    | 1      |

  Scenario Outline: a read that fails at one server is answered by the other
    Given app server "a-1" misbehaves by <fault>
    When 12 callers send a read
    Then all statuses are 200

    Examples:
      | fault   |
      | full    |
      | moved   |
      | error   |
      | reset   |
      | cut     |
      | rubbish |
      | hang    |

  Scenario: a second answer on a connection reaches nobody
    Given both app servers misbehave by second_answer
    When 12 callers send a read
    Then all statuses are 200
    And each reply is the answer to its own request

  Scenario: a resumable stream goes on at the other server
    Given engine "e-1" misbehaves by mid_event
    And engine "e-2" behaves
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

  Scenario: a stream that cannot be resumed never looks complete
    Given both engines misbehave by mid_event
    When a caller sends a chat
    Then the status is 200 and the body is not complete

  Scenario: a caller who leaves ends the work at the server
    Given both app servers misbehave by hang
    When a caller sends an issuance and leaves after 100 ms
    Then the server's run is dropped within 500 ms

  Scenario: a request that takes too long ends at the route's limit
    Given the routes' limit is 300 ms
    And both app servers misbehave by hang
    When a caller sends an issuance
    Then the status is 504 within 250 to 700 ms

  Scenario: a leaving server and a data centre that is out get nothing new
    When app server "a-1" says that it leaves
    And 12 callers send a read
    Then server "a-1" has run nothing
    When the data centre "bole" is taken out
    And a caller sends a read
    Then the status is 503

  Scenario: requests on one connection are answered in order
    When a caller sends 3 issuances at once on one connection
    Then the replies are in the order of the requests

  Scenario: a request with two framings is refused
    When a caller sends a request with a length and chunks
    Then the status is 400
    And the servers have run nothing

  Scenario: a request inside a body is not run
    When a caller sends an issuance whose body is a request
    Then the status is 200
    And the servers have run 1 request

  Scenario: a body over the limit is refused
    When a caller sends an issuance with a body of 100001 bytes
    Then the status is 413
    And the servers have run nothing

  Scenario: a slow head is refused after its time
    When a caller sends half a head and waits
    Then the status is 408

  Scenario: a stopping gateway finishes what runs
    Given the servers take 600 ms for an issuance
    When a caller sends an issuance and the gateway is stopped meanwhile
    Then the status is 200
    And the reply closes the connection
    And the gateway says that it is not ready

  Scenario: a stopping gateway refuses what it could not finish and serves the rest
    Given the routes' limit is 15000 ms but 1000 ms for an issuance
    And the engines make 100 events in 6000 ms
    When a chat runs and the gateway with 8000 ms of grace is stopped
    And 3500 ms later a caller sends a chat and another an issuance
    Then the chat is refused with 503 and the issuance is answered
    And the chat that ran has ended whole

  Scenario: a caller who connects to a stopping gateway has time to send a request
    Given the engines make 100 events in 6000 ms
    When a chat runs and the gateway with 8000 ms of grace is stopped
    And 2800 ms later a caller connects and sends an issuance after 300 ms more
    Then the status is 200

  Scenario: a server that ends a request at its deadline is not held to be failing
    Given the routes' limit is 120 ms
    And both app servers misbehave by deadline
    When 8 callers send a read
    Then no server is left out

  Scenario: the lines of the log can be read by explain and report, and hold no secret
    Given both app servers misbehave by reset
    When a caller sends an issuance
    And a caller sends a chat
    Then each line of the log can be read
    And the request's end tells its outcome "unknown" and cause "outcome_unknown"
    And no line holds a key or a body

  Scenario: a late answer's line names the cause and what was known
    Given the servers take 500 ms for an issuance
    When a caller sends an issuance
    Then the status is 200
    And the request's end tells its outcome "completed" and cause "late_slow_server"
    And its line tells the load, the target of 400 ms and the first answer after 500 ms

  Scenario: a stream that pauses too long is told as late
    Given the routes allow pauses of 50 ms and the engines take 120 ms for an event
    When a caller sends a chat
    Then the request's end tells its outcome "completed" and cause "late_paused_stream"

  Scenario: the report counts what was late, failed or a caller's own, by cause
    Given the servers take 500 ms for an issuance
    When a caller sends an issuance
    And a caller sends a request to "/nowhere/1"
    And a caller sends a chat
    Then the report has 1 lost request, for "the backend server took longer"
    And it counts 1 request as its caller's own and no cause is missing

  Scenario: the metrics hold the times of requests by service
    When a caller sends a chat
    And a caller sends an issuance
    Then the metrics hold histograms of waits, first answers and pauses

  Scenario: a read that may have run is not told to have not run
    Given app server "a-1" misbehaves by reset
    And app server "a-2" misbehaves by full
    When 6 callers send a read
    Then no refusal says not run of a read that has run

  Scenario: an action that full servers refuse waits for a place at them
    Given both app servers misbehave by full
    When a caller sends an issuance and the servers behave after 130 ms
    Then the status is 200
    And the request has run 1 times

  Scenario: an action for one server asks only the server that refused it
    Given the routes allow one server
    And both app servers misbehave by full
    When a caller sends an issuance and the servers behave after 130 ms
    Then the status is 200
    And only one server has got the issuance, more than once

  Scenario: an action is refused when no place has come within its target
    Given both app servers misbehave by full
    When a caller sends an issuance
    Then the status is 503 within 0 to 500 ms
    And the refusal is because of "server_full"

  Scenario: a refusal by another server at the address says so
    Given both app servers misbehave by moved
    When a caller sends an issuance
    Then the status is 503
    And the refusal is because of "server_replaced"
