Feature: Routers detect which of them are alive
  Probes, suspicion, refutation and incarnations with delayed, duplicated and lost
  messages.

  Scenario: all routers of a fleet discover each other
    Given a probing fleet of 5 routers, seed 1
    Then every live router sees 5 members, 5 of 5

  Scenario: a killed router is removed, and no longer counted once the host list omits it
    Given a probing fleet of 5 routers, seed 2
    When member 2 is killed
    And the probing fleet runs for 9000 ms
    Then every live router sees 4 members, 4 of 4

  Scenario: a process that starts on the same address is a different member
    Given a probing fleet of 5 routers, seed 3
    When member 2 is killed
    And the probing fleet runs for 1000 ms
    And member 2 starts again on its address
    And the probing fleet runs for 9000 ms
    Then every live router sees 5 members, 5 of 5
    And every live router knows the new process of member 2

  Scenario: a leaving router announces its departure
    Given a probing fleet of 5 routers, seed 4
    When member 2 is stopped gracefully
    And the probing fleet runs for 1000 ms
    Then every live router sees 4 members, 4 of 4

  Scenario: indirect probes keep a router with one broken link alive
    Given a probing fleet of 6 routers, seed 5
    When only the link between members 1 and 2 is cut
    And the probing fleet runs for 60000 ms
    Then every live router sees 6 members, 6 of 6

  Scenario: in a partition each side counts the other as listed and unreachable
    Given a probing fleet of 5 routers, seed 6
    When members 1,2 are partitioned from the others
    And the probing fleet runs for 15000 ms
    Then member 1 sees 2 of 5 routers reachable
    And member 3 sees 3 of 5 routers reachable
    And the shares of the two sides add up to at most the whole fleet
    When all links of the probing fleet are healed
    And the probing fleet runs for 15000 ms
    Then every live router sees 5 members, 5 of 5

  Scenario: a resumed process resynchronises its view from a peer
    Given a probing fleet of 5 routers, seed 7
    When member 2 is paused for 5000 ms
    Then on resuming, member 2 trusts its view only once a peer has answered

  Scenario: a resumed process waits for the text version of its peers
    Given a probing fleet of 5 routers, seed 17
    When member 2 is paused for 9000 ms while a text is published
    Then on resuming, member 2 trusts its view only with text version 2

  Scenario: a process that resumes in a partition regards itself as partitioned
    Given a probing fleet of 5 routers, seed 8
    When member 2 is paused for 5000 ms
    And members 2 are partitioned from the others
    Then on resuming alone, member 2 regards itself as partitioned

  Scenario: a paused router that was declared dead becomes a member again
    Given a probing fleet of 5 routers, seed 9
    When member 2 is paused for 15000 ms
    And the probing fleet runs for 14000 ms
    Then member 1 sees 4 of 5 routers reachable
    When the probing fleet runs for 10000 ms
    Then every live router sees 5 members, 5 of 5

  Scenario Outline: the number of probe messages does not grow with the fleet
    Given a probing fleet of <n_members> routers, seed 10
    Then each router sends at most 4 probe messages a second

    Examples:
      | n_members |
      | 8         |
      | 48        |

  Scenario: an earlier process at an address cannot return
    Given a table of one listed router whose process a was contacted
    When process b is contacted at the same address
    And process a is contacted at the same address
    And an update reports process a as alive with number 9
    Then the table holds process b as alive

  Scenario: a suspicion is refuted only by a higher number
    Given a table of one listed router whose process a was contacted
    When an update reports process a as suspect with number 0
    And an update reports process a as alive with number 0
    Then the table holds process a as suspect
    When an update reports process a as alive with number 1
    Then the table holds process a as alive
    When an update reports process a as suspect with number 0
    Then the table holds process a as alive

  Scenario: a relayed update about another process does not replace a live one
    Given a table of one listed router whose process a was contacted
    When an update reports process b as alive with number 0
    Then the table holds process a as alive
