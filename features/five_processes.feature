Feature: Processes are killed, paused and stopped under load
  Real processes on loopback, with ordinary HTTP clients.

  Scenario: a kill, a pause of ten seconds and a graceful stop under load
    Given five router processes in three data centres with their stand-ins
    When callers send chats and actions while one is killed, one paused, one stopped
    Then each caller of a process that was not killed has a whole answer or an outcome
    And no action has run twice, and none that was refused has run at all
    And three in four calls of the processes that live were completed
    And the stopped process has ended with status 0
