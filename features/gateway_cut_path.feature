Feature: Callers of a router that has no path to the backend servers are served
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 4 gateways that know each other

  Scenario Outline: requests at routers without a path go through their peers
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 2 s
    Then the first 2 gateways serve at least two thirds as many as the others
    And no action has run twice

    Examples:
      | how    |
      | silent |
      | reset  |
      | accepted and then reset  |
      | accepted and then silent |

  Scenario Outline: a path is known to be cut where no server states its load
    Given no server states its load
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 2 s
    Then the first 2 gateways serve at least two thirds as many as the others
    And no action has run twice

    Examples:
      | how                      |
      | silent                   |
      | reset                    |
      | accepted and then reset  |
      | accepted and then silent |

  Scenario: servers that have all ended are not taken for a cut path
    Given no server states its load
    When all servers end and each gateway gets 5 reads, checks and actions a second for 2 s
    Then no path counts as cut

  Scenario Outline: a path that only accepts connections does not count as back
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 5 s
    Then the first 2 gateways serve at least two thirds as many as the others
    And each of them has lost its path once and not found it again

    Examples:
      | how                      |
      | accepted and then reset  |
      | accepted and then silent |

  Scenario: a router whose path accepts again only at first sends directly in the end
    When the first 2 gateways lose their path to all servers, with connections that are accepted and then reset
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 1 s
    And the path is back for 2 s
    And each gateway gets 10 reads, checks and actions a second for 1 s
    Then all of these are served without a peer

  Scenario: a router whose path is back sends to the servers itself
    When the first 2 gateways lose their path to all servers, with connections that are reset
    And from 3 s after that each gateway gets 10 reads, checks and actions a second for 1 s
    And the path is back for 2 s
    And each gateway gets 10 reads, checks and actions a second for 1 s
    Then all of these are served without a peer

  Scenario: if no router has a path, callers are refused and no request circulates
    When the first 4 gateways lose their path to all servers, with connections that are reset
    And from 3 s after that each gateway gets 5 reads, checks and actions a second for 1 s
    Then none is served, and each is answered within 1000 ms

  Scenario Outline: a path counts as cut only if other routers get answers meanwhile
    When a router records <records>
    Then its path counts as <state>

    Examples:
      | records                                                              | state |
      | failure 1 at 100, failure 2 at 150                                   | open  |
      | failure 1 at 100, failure 2 at 150, peer 1 at 90                     | open  |
      | failure 1 at 100, failure 2 at 150, peer 1 at 120                    | cut   |
      | peer 1 at 120, failure 1 at 100, failure 2 at 150                    | cut   |
      | failure 1 at 100, failure 1 at 200, peer 1 at 300                    | open  |
      | failure 1 at 100, heard at 120, failure 2 at 150, peer 1 at 200      | open  |
      | failure 1 at 100, failure 2 at 150, peer 2 at 200, heard at 220      | open  |
      | failure 1 at 100, failure 2 at 150, peer 3 at 200                    | open  |
      | failure 1 at 100, failure 2 at 150, relayed 0 at 200                 | cut   |
      | failure 1 at 100, relayed 0 at 200                                   | open  |
      | peer 1 at 50, failure 1 at 100, failure 2 at 150, relayed 0 at 200   | open  |

  Scenario: servers stop work for callers who leave a router without a path
    Given the first gateway has no path to the servers
    And the app servers work for 3000 ms on each request
    When 10 callers send a read to the first gateway and leave after 300 ms
    Then each read has reached a server, which stops work within 500 ms

  Scenario: a relayed request carries what the peer needs and nothing that a caller set
    When a caller's request with a hop mark is prepared for a peer and for a server
    Then the peer gets key, one hop mark and the time that is left, the server no mark

  Scenario Outline: an answer of a peer says whether the request has run
    When a peer answers with <status> and <headers>
    Then the request counts as <meaning>

    Examples:
      | status | headers | meaning |
      | 503    | nothing | not run |
      | 429    | nothing | not run |
      | 502    | nothing | unknown |
      | 504    | nothing | unknown |
      | 503    | a seal  | unknown |

  Scenario: a peer with an older configuration does not decide on a relayed request
    Given the operators add a route that only the first gateway knows
    And the first gateway has no path to the servers
    When 12 callers send a read on this route to the first gateway
    Then no reply has status 404, and each 503 comes within 600 ms

  Scenario: a peer that is about to get the configuration waits for it
    Given the operators add a route that only the first gateway knows
    And the first gateway has no path to the servers
    And its peers get the configuration after 150 ms
    When 12 callers send a read on this route to the first gateway
    Then all replies have status 200
