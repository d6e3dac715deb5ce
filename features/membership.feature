Feature: Routers find out which of them are alive
  Probes, suspicion, refutation and incarnations; messages come late, twice or never.

  Scenario: all routers of a fleet find each other
    Given a probing fleet of 5 routers, seed 1
    Then every live router sees 5 members, 5 of 5

  Scenario: a killed router is dropped and counted out with the host list
    Given a probing fleet of 5 routers, seed 2
    When member 2 is killed
    And the probing fleet runs for 9000 ms
    Then every live router sees 4 members, 4 of 4

  Scenario: a process that starts on the same address is another member
    Given a probing fleet of 5 routers, seed 3
    When member 2 is killed
    And the probing fleet runs for 1000 ms
    And member 2 starts again on its address
    And the probing fleet runs for 9000 ms
    Then every live router sees 5 members, 5 of 5
    And every live router knows the new process of member 2

  Scenario: a router that leaves says so
    Given a probing fleet of 5 routers, seed 4
    When member 2 is stopped gracefully
    And the probing fleet runs for 1000 ms
    Then every live router sees 4 members, 4 of 4

  Scenario: indirect probes keep a router alive whose one link is cut
    Given a probing fleet of 6 routers, seed 5
    When only the link between members 1 and 2 is cut
    And the probing fleet runs for 60000 ms
    Then every live router sees 6 members, 6 of 6

  Scenario: in a partition each side counts the other as listed and unreachable
    Given a probing fleet of 5 routers, seed 6
    When members 1,2 are cut off from the others
    And the probing fleet runs for 15000 ms
    Then member 1 sees 2 of 5 routers reachable
    And member 3 sees 3 of 5 routers reachable
    And the shares of the two sides add up to at most the whole fleet
    When all links of the probing fleet are healed
    And the probing fleet runs for 15000 ms
    Then every live router sees 5 members, 5 of 5

  Scenario: a woken process re-learns its view from a peer
    Given a probing fleet of 5 routers, seed 7
    When member 2 is paused for 5000 ms
    Then on waking, member 2 trusts its view only once a peer has answered

  Scenario: a woken process waits for the text that its peers have
    Given a probing fleet of 5 routers, seed 17
    When member 2 is paused for 9000 ms while a text is published
    Then on waking, member 2 trusts its view only with text version 2

  Scenario: a process that wakes behind a partition counts itself as cut off
    Given a probing fleet of 5 routers, seed 8
    When member 2 is paused for 5000 ms
    And members 2 are cut off from the others
    Then on waking alone, member 2 counts itself as cut off

  Scenario: a paused router that was taken for dead comes back
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

  Scenario: an earlier process at an address can't come back
    Given a table of one listed router whose process a was heard
    When process b is heard at the same address
    And process a is heard at the same address
    And news say that process a is alive with number 9
    Then the table holds process b as alive

  Scenario: a suspicion is refuted by a higher number only
    Given a table of one listed router whose process a was heard
    When news say that process a is suspect with number 0
    And news say that process a is alive with number 0
    Then the table holds process a as suspect
    When news say that process a is alive with number 1
    Then the table holds process a as alive
    When news say that process a is suspect with number 0
    Then the table holds process a as alive

  Scenario: hearsay of another process does not displace one that is alive
    Given a table of one listed router whose process a was heard
    When news say that process b is alive with number 0
    Then the table holds process a as alive
