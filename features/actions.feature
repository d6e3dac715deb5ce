Feature: An action that may not be repeated runs at most once
  Permits and idempotency keys on five kernels with delayed, duplicated and lost
  messages.

  Scenario: a permit is spent once when it is sent to two routers concurrently
    Given five routers that know each other, seed 1
    And a permit of router 1
    When the action is sent to router 2
    And the action is sent to router 3
    And the action fleet runs for 2000 ms
    Then the outcomes of all requests are "completed, completed"
    And the action was run 1 times

  Scenario: after a lost reply another router returns the recorded outcome
    Given five routers that know each other, seed 2
    And a permit of router 1
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    And the action is sent to router 4
    And the outcome of the action is requested from router 5
    And the action fleet runs for 2000 ms
    Then the outcomes of all requests are "completed, completed, completed"
    And the action was run 1 times

  Scenario: the issuing router is killed before the dispatch
    Given five routers that know each other, seed 3
    And a permit of router 1
    When router 1 is killed
    And the action is sent to router 2
    And the action fleet runs for 20000 ms
    Then the last outcome is "unknown" with "the router that issued the permit no longer exists" in its sentence
    And the action was run 0 times

  Scenario: the issuing router is killed while the action runs
    Given five routers that know each other, seed 4
    And a permit of router 1
    When the action is sent to router 2
    And the action fleet runs for 20 ms
    And router 1 is killed
    And the action fleet runs for 20000 ms
    And the action is sent to router 3
    And the action fleet runs for 20000 ms
    Then each request has one outcome
    And the action was run at most once

  Scenario: the issuing router is killed after the action has run
    Given five routers that know each other, seed 5
    And a permit of router 1
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    And router 1 is killed
    And the action fleet runs for 8000 ms
    And the action is sent to router 3
    And the action fleet runs for 20000 ms
    Then the outcomes of all requests are "completed, unknown"
    And the action was run 1 times

  Scenario: an action with a timed key runs once, at the key's owner
    Given five routers that know each other, seed 6
    And a new idempotency key with its creation time
    When the action is sent to the two routers after the key's owner
    And the action fleet runs for 2000 ms
    Then the outcomes of all requests are "completed, completed"
    And the action was run 1 times

  Scenario: a key without a creation time cannot be proved new
    Given five routers that know each other, seed 7
    And an idempotency key without a time
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    Then the last outcome is "unknown" with "ask for a permit" in its sentence
    And the action was run 0 times

  Scenario: a new owner does not run an action that the former owner may have run
    Given five routers that know each other, seed 8
    And a new idempotency key with its creation time
    When the action is sent to another router than the key's owner
    And the action fleet runs for 2000 ms
    And the key's owner is killed
    And the action fleet runs for 10000 ms
    And the action is sent to another router than the key's owner
    And the action fleet runs for 20000 ms
    Then the outcomes of all requests are "completed, unknown"
    And the last outcome is "unknown" with "cannot prove that the idempotency key is new" in its sentence
    And the action was run 1 times

  Scenario: a new owner runs actions with keys newer than its ownership
    Given five routers that know each other, seed 9
    And a new idempotency key with its creation time
    When the key's owner is killed
    And the action fleet runs for 45000 ms
    Given a new idempotency key with its creation time
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    Then each request has one outcome
    And the action was run at most once

  Scenario: a paused router runs each action at most once
    Given five routers that know each other, seed 10
    And a permit of router 1
    When router 1 is paused for 6000 ms
    And the action is sent to router 2
    And the action is sent to router 3
    And the action fleet runs for 30000 ms
    Then each request has one outcome
    And the action was run at most once

  Scenario: a partitioned router keeps its permits
    Given five routers that know each other, seed 11
    And a permit of router 1
    When router 1 is partitioned from the others
    And the action is sent to router 2
    And the action is sent to router 1
    And the action fleet runs for 20000 ms
    And the partition heals
    And the action fleet runs for 20000 ms
    And the action is sent to router 3
    And the action fleet runs for 20000 ms
    Then each request has one outcome
    And the action was run at most once

  Scenario: a graceful stop hands over the outcome of a permit
    Given five routers that know each other, seed 12
    And a permit of router 1
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    And router 1 is stopped gracefully
    And the action fleet runs for 5000 ms
    And router 1 is killed
    And the action fleet runs for 15000 ms
    And the action is sent to router 3
    And the action fleet runs for 15000 ms
    Then the outcomes of all requests are "completed, completed"
    And the action was run 1 times

  Scenario: a graceful stop hands over a key's ownership without a gap
    Given five routers that know each other, seed 13
    And a new idempotency key with its creation time
    When the key's owner is stopped gracefully
    And the action fleet runs for 5000 ms
    And the action is sent to another router than the key's owner
    And the action fleet runs for 5000 ms
    Then the outcomes of all requests are "completed"
    And the action was run 1 times

  Scenario: requesting the outcome of an unused permit invalidates the permit
    Given five routers that know each other, seed 14
    And a permit of router 1
    When the outcome of the action is requested from router 2
    And the action fleet runs for 2000 ms
    And the action is sent to router 1
    And the action fleet runs for 2000 ms
    Then the outcomes of all requests are "not_run, not_run"
    And the action was run 0 times

  Scenario: a request over the hop limit is refused
    Given five routers that know each other, seed 15
    And a permit of router 1
    When the action has been forwarded 3 times and reaches router 2
    Then the last outcome is "unknown" with "forwarded too many times" in its sentence

  Scenario: a full record store refuses actions rather than evicting records
    Given five routers that know each other, seed 16
    And a permit of router 1
    And a full action record store on router 1
    When the action is sent to router 1
    And the action fleet runs for 2000 ms
    And the action is sent to router 2
    And the action fleet runs for 2000 ms
    Then each request has one outcome
    And the action was run at most once

  Scenario: an action with a forged permit does not run
    Given five routers that know each other, seed 17
    And a permit that no router has issued
    When the action is sent to router 1
    Then the last outcome is "unknown" with "no router has issued it" in its sentence
    And the action was run 0 times

  Scenario: many actions around a kill
    Then over 12 seeds of a kill no action is run twice

  Scenario: many actions around a graceful stop
    Then over 12 seeds of a graceful stop no action is run twice

  Scenario: many actions around a pause
    Then over 12 seeds of a pause no action is run twice

  Scenario: many actions around a partition
    Then over 12 seeds of a partition no action is run twice

  Scenario: a key's creation time is read from both formats
    Then the creation time in "t1700000000000-42" is 1700000000000 ms
    And the creation time in "018bcfe5-6800-7abc-8def-0123456789ab" is 1700000000000 ms
    And there is no creation time in "registration-7"
