Feature: The entry tries again only where that is safe, and names the cause
  One router owns all servers of two services; its messages are looked at one by one.

  Scenario: a broken stream of a repeatable request goes on at its offset elsewhere
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And its server breaks off after 500 bytes of the answer
    Then it is dispatched again to another server at offset 500
    When its server ends the answer with 300 bytes more
    Then the routed outcome is "completed" with 800 bytes

  Scenario: an action is never tried again once a byte may have gone
    Given a router that owns 3 servers of "dossier-review"
    When an action is routed
    And its server breaks off after 0 bytes of the answer
    Then the routed outcome is "unknown" because of "backend_server_failed"
    And there was 1 dispatch

  Scenario: an action is tried elsewhere when not a byte has gone
    Given a router that owns 3 servers of "dossier-review"
    When an action is routed
    And its server refuses the connection
    Then there were 2 dispatches to different servers

  Scenario: a request whose dependency is out is refused with the root cause
    Given a router whose service depends over two steps on a data centre that is out
    When a repeatable request is routed
    Then the routed outcome is "not_run" because of "dependency_out, dependency_out, no_backend_server, data_centre_out"
    And there were no dispatches

  Scenario: a late answer to an ended attempt is dropped and counted
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And its server ends the answer with 300 bytes more
    And the answer to its attempt comes once more
    Then the routed outcome is "completed" with 300 bytes
    And 1 late answer was dropped

  Scenario: the retry budget ends the tries
    Given a router that owns 3 servers of "dossier-review"
    When 20 repeatable requests are routed and every try fails
    Then at most 5 tries were beyond the first ones
    And one refusal names "retry_budget"

  Scenario: a stopping router refuses new requests and ends the running ones
    Given a router that owns 3 servers of "dossier-review"
    When a repeatable request is routed
    And the router is asked to stop
    And its server ends the answer with 300 bytes more
    Then the routed outcome is "completed" with 300 bytes
    And a further request is refused because of "stopping"

  Scenario: a lost owner's repeatable request goes on at another owner
    Given an entry whose servers are owned by 2 other routers
    When the entry routes a repeatable request
    And 400 bytes have come when its owner is lost
    Then it is offered to the other router at offset 400

  Scenario: a lost owner's action is unknown
    Given an entry whose servers are owned by 2 other routers
    When the entry routes an action
    And 0 bytes have come when its owner is lost
    Then the routed outcome is "unknown" because of "peer_lost"

  Scenario: an action whose offer never left is offered elsewhere
    Given an entry whose servers are owned by 2 other routers
    When the entry routes an action
    And its offer could not be sent
    Then it is offered to the other router at offset 0
