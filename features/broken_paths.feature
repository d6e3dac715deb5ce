Feature: Breaks between caller and backend server have the outcome that is true
  Routers and stand-ins on loopback with real sockets.

  Scenario: a stream that the engine cuts is resumed at its offset
    Given a loopback fleet of 3 routers and 3 engines
    When every engine cuts its next stream after 700 bytes
    And a client sends 6 streamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat
    And at least 1 stream was cut and resumed

  Scenario: a whole answer that the engine cuts is asked for again
    Given a loopback fleet of 3 routers and 3 engines
    When every engine cuts its next stream after 50 bytes
    And a client sends 6 whole chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: an engine that cannot be reached is passed over
    Given a loopback fleet of 3 routers and 3 engines
    When engine 1 stops to listen
    And a client sends 9 whole chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: a caller that goes frees the engine
    Given a loopback fleet of 1 routers and 1 engines
    When a client closes the connection in the middle of a long stream
    Then the engine's run is cancelled

  Scenario: an action that is sent twice runs once and has one answer
    Given a loopback fleet of 3 routers and 1 engines
    When a client sends one action with a permit to 3 routers in turn
    Then all 3 answers are the same bytes with outcome "completed"
    And the action server has run 1 action

  Scenario: an action whose reply is lost is unknown, and stays so
    Given a loopback fleet of 3 routers and 1 engines
    When the action server loses its next reply
    And a client sends one action with a permit to 3 routers in turn
    Then all 3 outcomes are "unknown"
    And the action server has run 1 action

  Scenario: an action whose server cannot be reached is not run
    Given a loopback fleet of 1 routers and 1 engines
    When the action server stops to listen
    And a client sends one action with a permit to 1 routers in turn
    Then all 1 outcomes are "not_run"
    And the answer's sentence holds "issuance-1"
    And the action server has run 0 actions

  Scenario: a text that is published is in force within seconds
    Given a loopback fleet of 3 routers and 3 engines
    When a text is published that takes out the data centre "bole"
    And a client sends 3 whole chats to the routers in turn
    Then all 3 outcomes are "not_run"
    And each answer says that the data centre "bole" was taken out

  Scenario: the pages for operators say what the router sees
    Given a loopback fleet of 1 routers and 1 engines
    When a client sends 2 whole chats to the routers in turn
    Then the status page holds "2 completed"
    And the status page holds "service 'dossier-review': 1 of 1 backend servers"
    And the metrics page holds "damaskrill_requests_total"
    And the metrics page holds "damaskrill_control_bytes{class="membership""
    And the readiness page says that it is ready

  Scenario: a graceful stop finishes the answer that runs
    Given a loopback fleet of 3 routers and 3 engines
    When a long stream runs at each router and all routers but the last are stopped
    Then each client has the byte-exact answer to its own chat
