Feature: A gateway forwards callers' requests to the platform's servers and relays answers
  The store and the servers are fakes on loopback that implement the platform's protocol.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario: a stream arrives complete and in order
    When a caller sends a chat
    Then the status is 200 and the body holds events 1 to 5 once each
    And the server received team "desk", its own name and no key

  Scenario: headers that only routers may set are dropped
    When a caller sends a chat with headers that only routers may set
    Then the server received none of their values

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

  Scenario: a second answer on a connection is never delivered
    Given both app servers misbehave by second_answer
    When 12 callers send a read
    Then all statuses are 200
    And each reply is the answer to its own request

  Scenario: a resumable stream continues at the other server
    Given engine "e-1" misbehaves by mid_event
    And engine "e-2" behaves
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

  Scenario: a stream that cannot be resumed never looks complete
    Given both engines misbehave by mid_event
    When a caller sends a chat
    Then the status is 200 and the body is not complete

  Scenario: a caller that disconnects ends the work at the server
    Given both app servers misbehave by hang
    When a caller sends an issuance and disconnects after 100 ms
    Then the server's run is dropped within 500 ms

  Scenario: a request that takes too long ends at the route's limit
    Given the routes' limit is 300 ms
    And both app servers misbehave by hang
    When a caller sends an issuance
    Then the status is 504 within 250 to 700 ms

  Scenario: a draining server and a data centre out of service get no new requests
    When app server "a-1" starts draining
    And 12 callers send a read
    Then server "a-1" has run no request
    When the data centre "bole" is taken out of service
    And a caller sends a read
    Then the status is 503

  Scenario: requests on one connection are answered in order
    When a caller pipelines 3 issuances on one connection
    Then the replies are in the order of the requests

  Scenario: a request with both a length and chunked framing is refused
    When a caller sends a request with a length and chunks
    Then the status is 400
    And the servers have run no request

  Scenario: a request inside a body is not run
    When a caller sends an issuance whose body is a request
    Then the status is 200
    And the servers have run 1 request

  Scenario: a body over the limit is refused
    When a caller sends an issuance with a body of 100001 bytes
    Then the status is 413
    And the servers have run no request

  Scenario: a slow request head is refused after its time limit
    When a caller sends half a head and waits
    Then the status is 408

  Scenario: a stopping gateway finishes running requests
    Given the servers take 600 ms for an issuance
    When a caller sends an issuance and the gateway is stopped meanwhile
    Then the status is 200
    And the reply closes the connection
    And the gateway reports that it is not ready

  Scenario: a stopping gateway refuses requests it could not finish and serves the others
    Given the routes' limit is 15000 ms but 1000 ms for an issuance
    And the engines make 100 events in 6000 ms
    When a chat runs and the gateway with 8000 ms of grace is stopped
    And 3500 ms later a caller sends a chat and another an issuance
    Then the chat is refused with 503 and the issuance is answered
    And the running chat has ended as complete

  Scenario: a caller who connects to a stopping gateway has time to send a request
    Given the engines make 100 events in 6000 ms
    When a chat runs and the gateway with 8000 ms of grace is stopped
    And 2800 ms later a caller connects and sends an issuance after 300 ms more
    Then the status is 200

  Scenario: a server that ends a request at its deadline is not judged as failing
    Given the routes' limit is 120 ms
    And both app servers misbehave by deadline
    When 8 callers send a read
    Then no server is ejected

  Scenario: log lines can be read by explain and report and contain no secrets
    Given both app servers misbehave by reset
    When a caller sends an issuance
    And a caller sends a chat
    Then each line of the log can be read
    And the request's end is logged with outcome "unknown" and cause "outcome_unknown"
    And no line contains a key or a body

  Scenario: the log line of a late answer gives the cause and the known load
    Given the servers take 500 ms for an issuance
    When a caller sends an issuance
    Then the status is 200
    And the request's end is logged with outcome "completed" and cause "late_slow_server"
    And its line gives the load, the target of 400 ms and the first answer after 500 ms

  Scenario: a stream that pauses too long is logged as late
    Given the routes allow pauses of 50 ms and the engines take 120 ms for an event
    When a caller sends a chat
    Then the request's end is logged with outcome "completed" and cause "late_paused_stream"

  Scenario: the report counts late and failed requests and callers' errors by cause
    Given the servers take 500 ms for an issuance
    When a caller sends an issuance
    And a caller sends a request to "/nowhere/1"
    And a caller sends a chat
    Then the report has 1 lost request, for "the backend server took longer"
    And it counts 1 request as its caller's error and no cause is missing

  Scenario: the metrics include the times of requests by service
    When a caller sends a chat
    And a caller sends an issuance
    Then the metrics include histograms of waits, first answers and pauses

  Scenario: a read that may have run is not reported as not run
    Given app server "a-1" misbehaves by reset
    And app server "a-2" misbehaves by full
    When 6 callers send a read
    Then no refusal reports a read that has run as not run

  Scenario: an action that full servers refuse waits for a free slot
    Given both app servers misbehave by full
    When a caller sends an issuance and the servers behave after 130 ms
    Then the status is 200
    And the request has run 1 times

  Scenario: an action limited to one server is retried only at the server that refused it
    Given the routes allow one server
    And both app servers misbehave by full
    When a caller sends an issuance and the servers behave after 130 ms
    Then the status is 200
    And only one server has received the issuance, more than once

  Scenario: an action is refused if no slot becomes free within its target
    Given both app servers misbehave by full
    When a caller sends an issuance
    Then the status is 503 within 0 to 500 ms
    And the refusal is because of "server_full"

  Scenario: a refusal by another server at the address is reported as such
    Given both app servers misbehave by moved
    When a caller sends an issuance
    Then the status is 503
    And the refusal is because of "server_replaced"

  Scenario: the log line of a stream that was cut gives the attempt's end and the reason
    Given both engines misbehave by mid_event
    When 1 callers send a check each with its own prompt
    Then the request's end is logged with outcome "unknown" and cause "stream_broken"
    And its detail is "the stream was not resumed: the route allows no further server, or no time is left"
