Feature: Requests whose prompts crash backend servers
  A part of a prompt may crash each server that begins to answer a request with it.

  Scenario: the lines of failed attempts show which prompt parts they have in common
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And all engines crash on the prompt part "bad"
    When a caller sends a chat with the prompt "aa,bad,q1"
    Then a line of a failed attempt names the parts "aa,bad" and an answer just begun

  Scenario Outline: a bad part is blocked before it has crashed many servers
    Given <n> routers before <servers> engines that may crash under prompts
    When two requests a second whose <place> part is bad arrive among sound ones for 40 s
    Then at most 6 engines crash
    And at most 3 bad requests reach an engine later than 3 s after the fifth crash
    And no sound request is rejected later than 6 s after the fifth crash

    Examples:
      | n  | servers | place                                    |
      | 7  | 5       | first                                    |
      | 7  | 5       | second                                   |
      | 7  | 5       | second, after the most popular first one |
      | 7  | 30      | first                                    |
      | 7  | 30      | second                                   |
      | 7  | 30      | second, after the most popular first one |
      | 77 | 5       | first                                    |
      | 77 | 5       | second                                   |
      | 77 | 5       | second, after the most popular first one |
      | 77 | 30      | first                                    |
      | 77 | 30      | second                                   |
      | 77 | 30      | second, after the most popular first one |

  Scenario Outline: a bad part is blocked also if its requests arrive in bursts
    Given <n> routers before <servers> engines that may crash under prompts
    When requests whose <place> part is bad arrive in bursts among sound ones for 40 s
    Then at most 3 bad requests reach an engine later than 3 s after the fifth crash
    And no sound request is rejected later than 6 s after the fifth crash

    Examples:
      | n  | servers | place  |
      | 7  | 5       | second |
      | 77 | 30      | first  |
      | 77 | 30      | second |

  Scenario Outline: a bad part is blocked everywhere although crashes seem simultaneous to some
    Given 77 routers before 5 engines with seed <seed> that may crash under prompts
    When requests whose second part is bad arrive in bursts among sound ones for 40 s
    Then at most 3 bad requests reach an engine later than 3 s after the fifth crash

    Examples:
      | seed |
      | 100  |
      | 160  |

  Scenario Outline: a bad part whose prompts come rarely is blocked
    Given <n> routers before 16 engines with seed 1 that may crash under prompts
    When prompts with a bad part come every <pause> s among sound ones, 9 times
    Then at most 3 bad requests reach an engine later than 3 s after the fifth crash
    And no sound request is rejected later than 0 s after the fifth crash

    Examples:
      | n  | pause |
      | 3  | 15.4  |
      | 7  | 40    |
      | 77 | 31    |

  Scenario Outline: engines that crash now and then block no part
    Given <n> routers before 16 engines with seed 1 that may crash under prompts
    When sound requests arrive for 1800 s, and an engine crashes every <pause> s
    Then no part was ever blocked

    Examples:
      | n | pause |
      | 3 | 7     |
      | 7 | 60    |

  Scenario Outline: two bad parts at once are both blocked
    Given <n> routers before 30 engines that may crash under prompts
    When requests with two different bad parts arrive among sound ones for 40 s
    Then every router blocks both bad parts
    And no sound request is rejected in the last 20 s

    Examples:
      | n  |
      | 7  |
      | 77 |

  Scenario Outline: other failures of servers block no part
    Given <n> routers before 30 engines that may crash under prompts
    When sound requests arrive for 40 s and <fault>
    Then requests were served and no part was ever blocked

    Examples:
      | n  | fault                                           |
      | 7  | a third of the engines lose their power at once |
      | 7  | two engines flap with a period of 1 s           |
      | 7  | engines break off 2 of 100 answers              |
      | 77 | a third of the engines lose their power at once |
      | 77 | two engines flap with a period of 1 s           |
      | 77 | engines break off 2 of 100 answers              |

  Scenario Outline: a router that starts blocks a part as soon as it has a link
    Given 7 routers before 5 engines that may crash under prompts
    When two requests a second whose second part is bad arrive among sound ones for 40 s
    And <seconds> s pass in which only bad requests arrive
    And a router starts and one of the others opens a link to it
    Then the router that has started blocks the bad part

    Examples:
      | seconds |
      | 0       |
      | 300     |

  Scenario: a router that starts again learns its own reports from its peers
    Given the only router that has seen three crashes under a part
    When it starts again and a peer that it had told opens a link to it
    Then the router that has started blocks the bad part

  Scenario Outline: a part that no longer crashes servers is released by a trial
    Given <n> routers before 5 engines that may crash under prompts
    When two requests a second whose second part is bad arrive among sound ones for 40 s
    And the part is sound again, and its requests go on for 300 s
    Then no router blocks the part
    And at most 1 of them was at an engine before all others were let through

    Examples:
      | n  |
      | 7  |
      | 77 |

  Scenario: a part is tried even if the first router by rank gets no such request
    Given 7 routers before 5 engines that may crash under prompts
    When two requests a second whose second part is bad arrive among sound ones for 40 s
    And the part is sound again, and its requests go on at one of the routers for 1800 s
    Then no router blocks the part

  Scenario: trials of a part that still crashes servers become rare
    Given 7 routers before 5 engines that may crash under prompts
    When two requests a second whose second part is bad arrive among sound ones for 40 s
    And 600 s pass in which only bad requests arrive
    Then the trials were 1 at a time, at least 60 s apart and at most 4
    And every router blocks the bad part

  Scenario: the memory for reports is bounded
    Given the only router that has seen three crashes under a part
    When 2000 servers crash at once
    Then the detector holds at most 256 crashes and still blocks the part

  Scenario: gateways reject requests with a blocked part and serve the others
    Given a platform with 5 engines that crash on the part "bad" and come back
    And 3 gateways that know each other
    When chats with the part "bad" arrive at the gateways in turn until one is rejected
    Then 3 to 5 engines have crashed
    And all gateways reject further chats with the part as not run, without an engine
    And all gateways serve chats with the same first part
    And the metrics and the log of a gateway name the blocked part
    And each line of the log can be read

  # Guards against the rejection of a document for the part before it.
  Scenario: gateways serve a document that prompts with a blocked part share
    Given a platform with 5 engines that crash on the part "bad" and come back
    And 3 gateways that know each other
    And each gateway has served 3 chats on a document, 2.5 s ago
    When chats with the bad part before the document arrive until one is rejected
    Then all gateways serve chats on the document
    And all gateways reject further chats with the part as not run, without an engine
    And the line of the blocked part tells what is known of it

  # Guards against a block that lasts a minute where a sound request decides it.
  Scenario: gateways that have just started find out which of two parts is bad
    Given a platform with 5 engines that crash on the part "bad" and come back
    And 3 gateways that know each other
    When chats with the bad part before the document arrive until one is rejected
    And chats on the document arrive at all gateways until each has served one
    Then at most 5 engines have crashed
    And all gateways serve chats on the document
    And all gateways reject further chats with the part as not run, without an engine

  Scenario: a request that crashed a server like another one is not sent again
    Given a platform with 5 engines that crash on the part "bad" and come back
    And 3 gateways that know each other
    When a check with the part "bad" arrives
    Then 2 engines have crashed
    When a check with the part "bad" arrives
    Then 3 engines have crashed
    And its caller got status 502 after one attempt

  Scenario: a gateway that starts rejects requests with a blocked part
    Given a platform with 5 engines that crash on the part "bad" and come back
    And 3 gateways that know each other
    When chats with the part "bad" arrive at the gateways in turn until one is rejected
    And another gateway starts and has links
    Then all gateways reject further chats with the part as not run, without an engine

  Scenario: an answer that a server breaks off is told from a malformed one
    Given a server that ends a chunked answer in its middle
    When a connection receives it
    Then the exchange failed as "closed"
    Given a server whose chunked answer has a wrong length
    When a connection receives it
    Then the exchange failed as "malformed"

  Scenario: crashes at the same moment count once
    Given a router that has seen no crash
    When 20 servers crash within 90 ms under a part that no request was served with
    Then it blocks nothing

  Scenario: many crashes at two moments are enough
    Given a router that has seen no crash
    When 5 servers crash within 300 ms, two of them 90 ms after another one
    Then it blocks the bad part

  Scenario Outline: of parts with the same crashes one is blocked, the other goes on
    In the prompts, # stands for the number of the crash.

    Given a router that has seen no crash
    When three servers crash while they begin answers to the prompts "<prompts>"
    Then it blocks only the part "bad"

    Examples:
      | prompts                  |
      | aa bad                   |
      | aa bb bad                |
      | bad c#, aa d#, aa e#     |
      | bad aa, aa d#            |
      | aa bad, aa d#, aa e#, b# |

  # Guards against sound prompts that are rejected for a document that they share with
  # prompts which crash servers by another part.
  Scenario Outline: a document that crashing prompts share goes on
    Given <n> routers before <servers> engines that may crash under prompts
    And the routers <history>
    When prompts with a bad part <place> come every 5 s, and sound ones on the document every <s> s
    Then at least half of the sound ones begin from 6 s after the fifth crash on
    And at most 3 bad requests reach an engine later than 3 s after the fifth crash

    Examples:
      | n   | servers | s  | place                                     | history                         |
      | 3   | 5       | 5  | before the document                       | have served the document        |
      | 3   | 5       | 5  | before the document                       | have started                    |
      | 3   | 5       | 12 | before the document                       | have served the document        |
      | 3   | 5       | 12 | before the document                       | have started                    |
      | 3   | 5       | 5  | before the document                       | have never served the document  |
      | 3   | 5       | 5  | after the document                        | have started                    |
      | 3   | 5       | 5  | before one of two documents in turn       | have started                    |
      | 3   | 5       | 5  | between two parts that are always shared  | have started                    |
      | 9   | 30      | 5  | before the document                       | have served the document        |
      | 9   | 30      | 5  | before the document                       | have started                    |
      | 9   | 30      | 12 | before the document                       | have served the document        |
      | 112 | 30      | 5  | before the document                       | have served the document        |
      | 112 | 30      | 12 | before the document                       | have served the document        |

  # Guards against a memory of sound answers that protects a part for good.
  Scenario Outline: a document that turns bad itself is blocked, also if it was served often
    Given <n> routers before 5 engines that may crash under prompts
    And the routers <history>
    When the document itself turns bad and its prompts come every 5 s
    Then at most <crashes> engines crash in 60 s
    And at most 3 bad requests reach an engine later than 3 s after the fifth crash
    And no request without the document is rejected

    Examples:
      | n  | crashes | history                        |
      | 3  | 6       | have served the document       |
      | 3  | 6       | have started                   |
      | 3  | 6       | have never served the document |
      | 9  | 6       | have served the document       |
      | 77 | 6       | have served the document       |

  Scenario Outline: of parts with the same crashes the one that was served less is blocked
    Given a router that has seen no crash
    And it has served part "aa" <n_aa> times and part "bb" <n_bb> times, 10 s before
    When three servers crash while they begin answers to the prompts "<prompts>"
    Then it blocks only the part "<blocked>"

    Examples:
      | n_aa | n_bb | prompts | blocked |
      | 0    | 1    | aa bb   | aa      |
      | 1    | 0    | aa bb   | bb      |
      | 1    | 1000 | aa bb   | aa      |
      | 1000 | 1    | bb aa   | bb      |
      | 1000 | 900  | aa bb   | bb      |

  Scenario: a router that has started learns from its peers how often parts were served
    Given a router that has seen no crash
    And it has served part "aa" 0 times and part "bb" 40 times, 10 s before
    When three servers crash while they begin answers to the prompts "aa bb"
    And a router starts that gets the reports of this one
    Then it blocks only the part "aa"

  # A router may send 5,000 bytes a second for control, of which these are a tenth.
  Scenario: news about served parts are few and small
    Given 112 routers before 30 engines that may crash under prompts
    When two requests a second whose second part is bad arrive among sound ones for 40 s
    Then no router sends more than 500 bytes a second of reports on soundness

  Scenario: reports on soundness that are cut are refused, and former builds send none
    Given an update with a report on the soundness of a part
    Then it is the same after its way over a link
    And with a report that is cut it is refused with a typed error
    And an update of a former build, which has no such field, has no such report

  Scenario: the memory of served parts is bounded
    Given a router that has seen no crash
    When it has served 20000 requests, each with a part of its own
    Then it remembers at most 8192 parts

  Scenario: a part that was served again counts no earlier crash
    Given a router that has seen no crash
    When two servers crash under a part, it is served, and a third one crashes later
    Then it blocks nothing

  Scenario Outline: only an answer that its server broke off early tells of a crash
    Given an attempt with head <status> that <end>, <ms> ms after the first event
    Then it tells of a crash: <crash>, and of a sound prompt: <sound>

    Examples:
      | status | end              | ms   | crash | sound |
      | 200    | was closed       | 60   | yes   | no    |
      | 200    | was reset        | 60   | yes   | no    |
      | 200    | was closed       | 700  | no    | no    |
      | 200    | was closed       | 2000 | no    | yes   |
      | 200    | stalled          | 60   | no    | no    |
      | 200    | was malformed    | 60   | no    | no    |
      | 500    | was closed       | 60   | no    | no    |
      | 0      | was closed       | 60   | no    | no    |
      | 200    | was refused      | 60   | no    | no    |
      | 200    | had a bad answer | 60   | no    | no    |
      | 200    | ended inside an event | 60 | yes | no    |
      | 200    | ended            | 60   | no    | yes   |
