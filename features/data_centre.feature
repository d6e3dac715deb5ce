Feature: A data centre is taken out of service and returns
  It gets no new work after a few seconds, and its servers ramp up after the return. The
  text or the host list takes servers out of service.

  Scenario: a data centre out of service gets no new work and completes running work
    Given a fleet under load in three data centres, seed 1
    When the data centre "bole" is taken out for 15 s
    Then from 3 s later, no new work went to "bole"
    And every request sent around that time got one outcome
    And at least 95 of 100 of them completed

  Scenario: servers of a returned data centre start at their cold load
    Given a fleet under load in three data centres, seed 2
    When the data centre "bole" is taken out for 15 s
    And the data centre's return is awaited
    Then in the first second no server of "bole" exceeded its cold load
    And "bole" received work within 15 s of its return

  Scenario: a server that only the host list marks as leaving gets no new work
    Given a fleet under load in three data centres, seed 3
    When the host list names "engine-2" as leaving
    Then from 3 s after the list shows it, no new work went to "engine-2"

  Scenario: the log shows which data centre went out of service and returned
    Given a fleet under load in three data centres, seed 4
    When the data centre "bole" is taken out for 15 s
    And the data centre's return is awaited
    Then each router logged that "bole" went out of service and returned

  Scenario: requests finished before the return do not count for the ramp
    Given a warm server's ramp from 2 to 12 after 1000 finished requests
    When its data centre returns and it reports 1000 finished requests
    Then the ramp allows 2 concurrent requests
    When it reports 1008 finished requests
    Then the ramp allows 4 concurrent requests
