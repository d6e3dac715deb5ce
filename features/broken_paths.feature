Feature: Failures between caller and backend server lead to the correct outcome
  Routers and fake servers on loopback with real sockets.

  Scenario: a stream that the engine aborts is resumed at its offset
    Given a loopback fleet of 3 routers and 3 engines
    When every engine aborts its next answer after 700 bytes
    And a client sends 6 streamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat
    And at least 1 stream was aborted and resumed

  Scenario: an unstreamed answer that the engine aborts is requested again
    Given a loopback fleet of 3 routers and 3 engines
    When every engine aborts its next answer after 50 bytes
    And a client sends 6 unstreamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: an engine that cannot be reached is skipped
    Given a loopback fleet of 3 routers and 3 engines
    When engine 1 stops listening
    And a client sends 9 unstreamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: a disconnected caller's request is cancelled at the engine
    Given a loopback fleet of 1 routers and 1 engines
    When a client closes the connection in the middle of a long stream
    Then the request is cancelled at the engine

  Scenario: an action that is sent several times runs once and has one answer
    Given a loopback fleet of 3 routers and 1 engines
    When a client sends one action with a permit to 3 routers in turn
    Then all 3 answers are the same bytes with outcome "completed"
    And the action server has run 1 action

  Scenario: an action whose reply is lost has the outcome unknown, also for retries
    Given a loopback fleet of 3 routers and 1 engines
    When the action server loses its next reply
    And a client sends one action with a permit to 3 routers in turn
    Then all 3 outcomes are "unknown"
    And the action server has run 1 action

  Scenario: an action whose server cannot be reached is not run
    Given a loopback fleet of 1 routers and 1 engines
    When the action server stops listening
    And a client sends one action with a permit to 1 routers in turn
    Then all 1 outcomes are "not_run"
    And the answer's sentence contains "issuance-1"
    And the action server has run 0 actions

  Scenario: a published text is active within seconds
    Given a loopback fleet of 3 routers and 3 engines
    When a text is published that takes the data centre "bole" out of service
    And a client sends 3 unstreamed chats to the routers in turn
    Then all 3 outcomes are "not_run"
    And each answer states that the data centre "bole" was taken out

  Scenario: the operators' pages show the state of the router
    Given a loopback fleet of 1 routers and 1 engines
    When a client sends 2 unstreamed chats to the routers in turn
    Then the status page contains "2 completed"
    And the status page contains "service 'dossier-review': 1 of 1 backend servers"
    And the metrics page contains "damaskrill_requests_total"
    And the metrics page contains "damaskrill_control_bytes{class="membership""
    And the readiness page reports ready

  Scenario: a graceful stop finishes open answers
    Given a loopback fleet of 3 routers and 3 engines
    When a long stream is open at each router and all routers but the last are stopped
    Then each client has the byte-exact answer to its own chat

  # Guards against statuses by which clients send an action again that has run.
  Scenario Outline: an action that its server ran and fails is unknown
    Given a loopback fleet of 3 routers and 1 engines
    When the action server answers <status> to what it has run
    And a client sends one action with a permit to 3 routers in turn
    Then all 3 outcomes are "unknown"
    And all 3 statuses are 502
    And the action server has run 1 action

    Examples:
      | status |
      | 408    |
      | 421    |
      | 503    |
      | 99     |
      | 600    |
      | 999    |
