Feature: A data centre is taken out and comes back
  No new work after a few seconds, a ramp on return; the text or the host list decides.

  Scenario: no new work goes to a data centre that is out, and running work ends
    Given a fleet under load in three data centres, seed 1
    When the data centre "bole" is taken out for 15 s
    Then 3 s after that no new work went to "bole"
    And every request sent around that time got one outcome
    And at least 95 of 100 of them completed

  Scenario: servers that return start at their cold load
    Given a fleet under load in three data centres, seed 2
    When the data centre "bole" is taken out for 15 s
    And the data centre's return is awaited
    Then in the first second no server of "bole" had more than its cold load
    And "bole" had work again 15 s after its return

  Scenario: a server that only the host list names as leaving gets no new work
    Given a fleet under load in three data centres, seed 3
    When the host list names "engine-2" as leaving
    Then 3 s after the list shows it no new work went to "engine-2"

  Scenario: the log says which data centre went out and came back
    Given a fleet under load in three data centres, seed 4
    When the data centre "bole" is taken out for 15 s
    And the data centre's return is awaited
    Then each router logged that "bole" went out and came back

  Scenario: work from before the return does not count for the ramp
    Given a warm server's ramp from 2 to 12 after 1000 finished requests
    When its data centre comes back and it reports 1000 finished requests
    Then the ramp allows 2 requests at once
    When it reports 1008 finished requests
    Then the ramp allows 4 requests at once
