Feature: A process that is told to stop more than once ends regularly
  Scenario Outline: signals arrive until the process has ended
    Given a router process that serves
    When it gets SIGTERM, and then <signal> each 2 ms until it has ended
    Then its exit status is 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGHUP  |

  Scenario: the grace period begins with a signal that arrives while the process starts
    Given a router process that has only opened its port for callers
    When it gets SIGTERM, is held up for 1000 ms, and a caller sends a chat of 10 s
    Then it ends before it would be killed

  # Callers' last bytes have left by then; a process that is killed looks like a crash.
  Scenario: the teardown of the interpreter does not outlast the grace period
    Given a router process that serves and whose interpreter takes 2000 ms to tear down
    When it gets SIGTERM, and a caller that is connected goes on with a chat of 10 s
    Then it ends before it would be killed
    And its exit status is 0
    And its last line tells that it has stopped
