Feature: The entry router retries only where that is safe, and reports the cause
  A single router is tested message by message.

  Scenario: an interrupted repeatable request resumes at its offset on another server
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And its server breaks off after 500 bytes of the answer
    Then it is dispatched again to another server at offset 500
    When its server ends the answer with 300 bytes more
    Then the routed outcome is "completed" with 800 bytes

  Scenario: an action is not retried once a byte may have been sent
    Given a router that owns 3 servers of "dossier-review"
    When an action is routed
    And its server breaks off after 0 bytes of the answer
    Then the routed outcome is "unknown" because of "backend_server_failed"
    And there was 1 dispatch

  Scenario: an action is retried on another server if no byte was sent
    Given a router that owns 3 servers of "dossier-review"
    When an action is routed
    And its server refuses the connection
    Then there were 2 dispatches to different servers

  Scenario: a request with an unavailable dependency is refused with the root cause
    Given a service with a transitive dependency on a data centre out of service
    When a repeatable request is routed
    Then the routed outcome is "not_run" because of "dependency_out, dependency_out, no_backend_server, data_centre_out"
    And there were no dispatches

  Scenario: a late reply to an ended attempt is dropped and counted
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And its server ends the answer with 300 bytes more
    And the reply to its attempt is received a second time
    Then the routed outcome is "completed" with 300 bytes
    And 1 late answer was dropped

  Scenario: the retry budget limits the retries
    Given a router that owns 3 servers of "dossier-review"
    When 20 repeatable requests are routed and every attempt fails
    Then there were at most 5 retries
    And one refusal names "retry_budget"

  Scenario: a stopping router refuses new requests and completes running ones
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And the router is asked to stop
    And its server ends the answer with 300 bytes more
    Then the routed outcome is "completed" with 300 bytes
    And a further request is refused because of "stopping"

  Scenario: a repeatable request of a lost owner resumes at another owner
    Given an entry whose servers are owned by 2 other routers
    When the entry routes a repeatable request
    And its owner is lost after 400 bytes
    Then it is offered to the other router at offset 400

  Scenario: the outcome of an action at a lost owner is unknown
    Given an entry whose servers are owned by 2 other routers
    When the entry routes an action
    And its owner is lost after 0 bytes
    Then the routed outcome is "unknown" because of "peer_lost"

  Scenario: an action whose offer was not sent is offered to another owner
    Given an entry whose servers are owned by 2 other routers
    When the entry routes an action
    And its offer could not be sent
    Then it is offered to the other router at offset 0
