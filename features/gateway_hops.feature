Feature: Only a router is taken for a router
  Scenario: a caller that sends the headers of routers is served as without them
    # Guards against callers who lift bounds, or are refused, by headers of the fleet.
    Given a platform with a server of each service
    And 2 more gateways that know the first one
    When a caller sends 40 reads to each gateway with drawn headers of routers
    Then each is answered with 200 and the same headers as reads without them
    And none takes longer than 250 ms
    And the retry budgets count all of these reads
    And no server has received a header of routers

  Scenario: a request that a peer sends is known by its proof
    Given a platform with a server of each service
    When a read comes with the proof of the gateway and a grant of no server
    Then it is refused as the grant says

  Scenario: a server that another router has reached is listed again meanwhile
    # Guards against a list of servers to exclude that is made when the request comes.
    Given a platform with a server of each service
    When a read comes from a router that has reached "app-1", whose entry is back 20 ms later
    Then it is refused, and no server has run it

  Scenario Outline: a request without a proof counts as a router's during an upgrade only
    Given a router that knows <peers>
    Then a request with <proof> <counts> as that of a router

    Examples:
      | peers                             | proof         | counts         |
      | peers of its build                | its own proof | counts         |
      | peers of its build                | another proof | does not count |
      | peers of its build                | no proof      | does not count |
      | a peer of the former build        | no proof      | counts         |
      | a peer of the former build        | another proof | does not count |
      | a former peer that has just ended | no proof      | counts         |
      | a former peer that ended long ago | no proof      | does not count |

  Scenario: a router that was not reached gets no request until there is news of it
    # Guards against requests at the next process of a killed router, which takes them
    # for those of callers and sends them to as many servers again.
    Given a router without a path that knows a peer with proof 7
    When the peer refuses the connection of a request
    Then the router sends nothing through the peer
    When the peer's process with proof 8 is known
    Then the router sends requests through the peer
    When the peer refuses the connection of a request
    And the peer's next heartbeat arrives
    Then the router sends requests through the peer

  Scenario: a probe of the path to the servers gives its connection back once
    # Guards against a connection that two requests use at the same time.
    Given a platform with a server of each service
    When a gateway probes the path to its servers
    Then each idle connection is handed out once
