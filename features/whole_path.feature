Feature: A request goes through routers to a backend server and back
  Routers, fake servers and an ordinary HTTP client on loopback, with real sockets.

  Scenario: a streamed chat through each of three routers is byte-exact
    Given a loopback fleet of 3 routers and 3 engines
    When a client sends 12 streamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: an unstreamed chat through each of three routers is byte-exact
    Given a loopback fleet of 3 routers and 3 engines
    When a client sends 12 unstreamed chats to the routers in turn
    Then each client has the byte-exact answer to its own chat

  Scenario: 200 concurrent chats, streamed and unstreamed, are byte-exact
    Given a loopback fleet of 3 routers and 3 engines with a capacity of 200 requests each
    When clients send 200 chats concurrently, every second one streamed
    Then each client has the byte-exact answer to its own chat

  Scenario: a request for a service that the text does not name is refused with a reason
    Given a loopback fleet of 1 routers and 1 engines
    When a client sends a chat for the service "nobody-has-this"
    Then the HTTP status is 404 and the outcome is "not_run"
    And the answer's sentence contains "names no service 'nobody-has-this'"
