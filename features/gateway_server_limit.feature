Feature: A request reaches no more backend servers than its route allows
  A request may go through other routers. The limit of its route holds for all of them
  together.

  Background:
    Given a platform with 2 engines and 8 app servers
    And 4 gateways that know each other

  Scenario Outline: reads through peers reach no more servers than their route allows
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And the app servers fail half of the requests, which they <failure>
    And each gateway gets 10 reads a second for 3 s, and again for 6 s
    Then no read has run on more than 2 servers
    And the first 2 gateways serve at least two thirds as many of the latter as the others

    Examples:
      | how                      | failure                    |
      | reset                    | run and answer with 500    |
      | reset                    | run and break off          |
      | silent                   | run and answer with 500    |
      | accepted and then silent | run and break off          |
      | reset                    | reject unread              |

  Scenario Outline: reads that fail at all servers reach no more than their route allows
    When the first 2 gateways lose their path to all servers, with connections that are <how>
    And the app servers fail all of the requests, which they <failure>
    And each gateway gets 10 reads a second for 3 s
    Then no read has run on more than 2 servers
    And the service gets no more repeats than the retry budget allows
    And the line of the router that got a read tells how many servers it reached

    Examples:
      | how                      | failure               |
      | reset                    | run and answer with 500 |
      | reset                    | run and break off     |
      | accepted and then reset  | run and answer with 500 |

  Scenario Outline: checks that break off reach no more engines than their route allows
    Given 6 further engines
    When the first 2 gateways lose their path to all servers, with connections that are reset
    And each gateway gets 5 checks a second for 2 s
    And the engines break half of the streams off <where>
    And each gateway gets 10 checks a second for 4 s
    Then no check has run on more than 2 servers
    And the line of the router that got a check tells how many servers it reached
    And callers get nothing but events, each once and in order

    Examples:
      | where               |
      | before the head     |
      | in a later event    |

  Scenario: each repeat at a server takes one retry, also through a peer
    Given the hosts of 6 app servers refuse connections
    When the app servers fail all of the requests, which they run and answer with 500
    And each gateway gets one read that runs on 2 servers
    Then the gateways have taken 4 retries from their budgets

  Scenario: a router that does not know what a sender has spent reaches one server
    When the app servers fail all of the requests, which they run and answer with 500
    And a router of an earlier build sends 12 reads through the first gateway
    Then each of these reads has run on 1 server

  Scenario Outline: what is left of a request's servers goes to a peer and comes back
    When a request of <limit> servers meets <events>
    Then it has reached <spent> servers and may reach <left> more

    Examples: at the router that got it
      | limit | events                                  | spent | left |
      | 2     | nothing                                 | 0     | 2    |
      | 2     | sent 5                                  | 1     | 1    |
      | 2     | sent 5, sent 5                          | 1     | 1    |
      | 2     | lent                                    | 2     | 0    |
      | 2     | lent, told left 1 of 5                  | 1     | 1    |
      | 2     | lent, told left 0 of 5                  | 1     | 0    |
      | 2     | lent, told left 2 of                    | 0     | 2    |
      | 2     | lent, told left 0 of 5 6                | 2     | 0    |
      | 2     | lent, silent                            | 2     | 0    |
      | 3     | sent 5, lent, told left 1 of 5 6        | 2     | 1    |
      | 3     | sent 5, lent, told left 3 of 5 6        | 2     | 1    |
      | 3     | sent 5, exhausted                       | 1     | 0    |

    Examples: at a peer
      | limit | events                                  | spent | left |
      | 2     | granted 1 of 5                          | 1     | 1    |
      | 2     | granted 1 of 5, sent 6                  | 2     | 0    |
      | 2     | granted 4 of 5                          | 1     | 1    |
      | 5     | granted 1 of                            | 0     | 1    |

  Scenario Outline: a peer of an earlier build gets only what no server has got
    When a request of 2 servers meets <events>
    Then a peer that <peer> may <get> it

    Examples:
      | events           | peer                 | get     |
      | nothing          | keeps to its grant   | get     |
      | nothing          | knows no grants      | get     |
      | sent 5           | keeps to its grant   | get     |
      | sent 5           | knows no grants      | not get |
      | sent 5, sent 6   | keeps to its grant   | not get |

  Scenario Outline: what a peer has spent is known by how its connection ends
    When a peer tells 1 5 in the head and 0 5 9 in the stream, which ends <how>
    Then what it has spent is <known>

    Examples:
      | how       | known   |
      | complete  | known   |
      | closed    | known   |
      | reset     | known   |
      | silent    | unknown |
      | stalled   | unknown |
      | malformed | unknown |

  Scenario Outline: what a peer tells within a stream is not forwarded
    When a peer sends <stream>
    Then the caller gets <events>, and the grant is read as <grant>

    Examples:
      | stream           | events    | grant         |
      | 1                | 1         | unknown       |
      | told 0 5 9       | nothing   | left 0 of 5 9 |
      | 1, told 1 5, 2   | 1, 2      | left 1 of 5   |
      | told 1 5, told 0 5 9, 3 | 3  | left 0 of 5 9 |
      | data like told 0 5 | data like told 0 5 | unknown |

  Scenario Outline: what a router tells about servers is read as it was written
    When the header <value> comes with a relayed request
    Then the grant is read as <grant>

    Examples:
      | value      | grant         |
      | 2          | left 2 of     |
      | 1 5 9      | left 1 of 5 9 |
      | 0 5 9      | left 0 of 5 9 |
      | nothing    | unknown       |
      | x          | unknown       |
      | 1 x        | unknown       |
      | -1         | unknown       |

  Scenario: the line of a request that no server got names the limit of its route
    When the first gateway stops, too soon for a read to end
    Then its line says that it reached 0 of at most 2 servers
