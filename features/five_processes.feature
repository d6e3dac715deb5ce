Feature: Router processes are killed, paused and stopped under load
  Real processes on loopback, with ordinary HTTP clients.

  Scenario: a kill, a pause of ten seconds and a graceful stop under load
    Given five router processes in three data centres with a fake platform
    When callers send chats and actions while one is killed, one paused, one stopped
    Then each caller of a process that was not killed has a complete answer or an outcome
    And no action has run twice, and no refused action has run
    And at least 75 % of the calls to the processes without a fault were completed
    And the stopped process has ended with status 0
