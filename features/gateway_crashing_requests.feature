Feature: Requests that crash backend servers whenever they come again
  A request may crash each server that begins to run it. It comes again with another ID, but
  with the same path, team and body.

  Scenario: the lines of failed attempts show that one request has come again
    Given a platform with 5 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the first gateway
    And the request arrives at the first gateway
    Then all lines of failed attempts have one fingerprint

  Scenario Outline: a request that has crashed three servers is not sent to more
    Given a platform with 6 <kind> servers that crash on the request "<target>" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn until one rejects it
    Then 3 to 4 servers have crashed
    And all gateways reject the request as not run, without a server
    And all gateways serve the same path with another body, and by another team
    And the metrics and the log of a gateway name the blocked request

    Examples:
      | kind   | target     |
      | app    | /read/bad  |
      | app    | /issue/bad |
      | engine | /chat/bad  |
      | engine | /check/bad |

  Scenario: a request that crashes servers late is not sent to more than four
    # Guards against evidence that is dropped since a run was not young any more.
    Given a platform with 6 app servers that crash on the request "/issue/bad" and come back
    And they crash after 2300 ms
    And 3 gateways that know each other
    When the request arrives at the gateways in turn until one rejects it
    Then 3 to 4 servers have crashed
    And all gateways reject the request as not run, without a server

  Scenario Outline: late crashes count against requests that were never served
    When <n> servers break a request off late that was served <served> times
    Then the request <state>

    Examples:
      | n | served | state           |
      | 2 | 0      | may be sent      |
      | 3 | 0      | must not be sent |
      | 3 | 1      | may be sent      |
      | 9 | 40     | may be sent      |

  Scenario: a prompt part that crashes servers late is blocked
    # Guards against the same for answers of which only the head had come.
    Given a platform with 6 engine servers that crash on the part "bad" and come back
    And they crash after 1300 ms
    And 3 gateways that know each other
    When chats with the parts "aa" and "bad" arrive at the gateways in turn until one is rejected
    Then 3 to 5 servers have crashed
    And chats with the part "aa" alone are served

  Scenario: the third server that a request crashes is the last although all end at once
    Given a platform with 6 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn, 60 ms apart, until one rejects it
    Then 3 to 5 servers have crashed

  Scenario Outline: a request that arrives where no path leads to the servers crashes no more
    Given a platform with 8 app servers that crash on the request "/read/bad" and come back
    And 4 gateways that know each other
    When the first 2 gateways have no path to the servers
    And the request arrives at the first <n> gateways <pause> ms apart until one rejects it
    Then <least> to <most> servers have crashed

    Examples:
      | n | pause | least | most |
      | 2 | 500   | 3     | 4    |
      | 2 | 60    | 3     | 6    |
      | 4 | 500   | 3     | 4    |

  Scenario: a gateway that starts rejects a request that has crashed servers
    Given a platform with 6 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn until one rejects it
    And another gateway starts and has links
    Then all gateways reject the request as not run, without a server

  Scenario Outline: a request that comes again at any router is blocked everywhere
    Given <n> routers before <servers> plain servers that may crash under requests
    When a request that crashes servers comes <per_s> times a second among sound ones for 40 s
    Then at most 3 such requests reach a server later than 3 s after the third crash
    And no sound read is rejected later than 6 s after the third crash

    Examples:
      | n  | servers | per_s |
      | 7  | 3       | 1     |
      | 7  | 3       | 6     |
      | 7  | 30      | 2     |
      | 77 | 3       | 2     |
      | 77 | 30      | 1     |
      | 77 | 30      | 6     |

  # Between two such requests the crash was forgotten, so that it was never the third.
  Scenario Outline: a request that comes again rarely is blocked everywhere
    Given <n> routers before 6 plain servers that may crash under requests
    When a request that crashes servers comes every <pause> s among sound ones, 9 times
    Then at most 3 such requests reach a server later than 3 s after the third crash
    And no sound read is rejected later than 0 s after the third crash

    Examples:
      | n  | pause |
      | 3  | 15.4  |
      | 3  | 40    |
      | 3  | 120   |
      | 3  | 300   |
      | 7  | 31    |
      | 77 | 15.4  |

  Scenario Outline: servers that crash now and then block no request
    Given <n> routers before 6 plain servers that may crash under requests
    When sound reads arrive for 1800 s, and a server crashes every <pause> s
    Then no request was ever blocked

    Examples:
      | n | pause |
      | 3 | 7     |
      | 7 | 60    |

  Scenario: a crash under requests that were all served since is forgotten soon
    Given a router that has seen no crash
    When a server crashes under 20 requests, 19 of which are served 10 s later
    Then 40 s after the crash one crash with one request is remembered
    And 40 s after the last of them is served none is remembered

  Scenario Outline: other failures of plain servers block no request
    Given <n> routers before 6 plain servers that may crash under requests
    When sound reads arrive for 40 s and <fault>
    Then reads were served and no request was ever blocked

    Examples:
      | n  | fault                                           |
      | 7  | a third of the engines lose their power at once |
      | 7  | two engines flap with a period of 1 s           |
      | 7  | engines break off 2 of 100 answers              |
      | 77 | a third of the engines lose their power at once |
      | 77 | two engines flap with a period of 1 s           |

  Scenario Outline: a block under which servers go on to answer is lifted at once
    Given <n> routers before 6 plain servers that may crash under requests
    When sound reads arrive for 40 s and engines break off 40 of 100 answers
    Then fewer than 1 in 100 sound reads are rejected, and none is blocked at last

    Examples:
      | n  |
      | 7  |
      | 77 |

  Scenario: what dead servers still break off counts against no request
    Given a router that has seen no crash
    When three servers crash under a request, and break off others for 3 s afterwards
    Then it blocks only that request

  Scenario Outline: only an answer of the selected server shows that it lives
    When an attempt receives an answer with status <status> <sender>
    Then the server has answered: <is_answered>

    Examples:
      | status | sender                     | is_answered |
      | 200    | from the selected server   | yes         |
      | 500    | from the selected server   | yes         |
      | 503    | from the selected server   | yes         |
      | 421    | from another server        | no          |
      | 200    | to another request         | no          |
