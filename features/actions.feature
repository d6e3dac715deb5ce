Feature: An action that may not be repeated runs at most once
  Permits and keys, over five kernels whose messages come late, twice or never.

  Scenario: a permit is spent once though it is sent through two routers at once
    Given five routers that know each other, seed 1
    And a permit of router 1
    When the action is sent to router 2
    And the action is sent to router 3
    And 2000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, completed"
    And the action was run 1 times

  Scenario: a lost reply is asked for again at another router
    Given five routers that know each other, seed 2
    And a permit of router 1
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    And the action is sent to router 4
    And the outcome of the action is asked of router 5
    And 2000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, completed, completed"
    And the action was run 1 times

  Scenario: the issuing router dies before the dispatch
    Given five routers that know each other, seed 3
    And a permit of router 1
    When router 1 is killed
    And the action is sent to router 2
    And 20000 ms of the actions' fleet pass
    Then the last outcome is "unknown", said because "the router that issued the permit is gone"
    And the action was run 0 times

  Scenario: the issuing router dies while the action runs
    Given five routers that know each other, seed 4
    And a permit of router 1
    When the action is sent to router 2
    And 20 ms of the actions' fleet pass
    And router 1 is killed
    And 20000 ms of the actions' fleet pass
    And the action is sent to router 3
    And 20000 ms of the actions' fleet pass
    Then each sending has one outcome
    And the action was run at most once

  Scenario: the issuing router dies after the action was run
    Given five routers that know each other, seed 5
    And a permit of router 1
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    And router 1 is killed
    And 8000 ms of the actions' fleet pass
    And the action is sent to router 3
    And 20000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, unknown"
    And the action was run 1 times

  Scenario: a key with its creation time is run once by its owner
    Given five routers that know each other, seed 6
    And a new idempotency key with its creation time
    When the action is sent to the two routers after the key's owner
    And 2000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, completed"
    And the action was run 1 times

  Scenario: a key without a time cannot be proved to be new
    Given five routers that know each other, seed 7
    And an idempotency key without a time
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    Then the last outcome is "unknown", said because "ask for a permit"
    And the action was run 0 times

  Scenario: a new owner does not run a key that the last owner may have run
    Given five routers that know each other, seed 8
    And a new idempotency key with its creation time
    When the action is sent to another router than the key's owner
    And 2000 ms of the actions' fleet pass
    And the key's owner is killed
    And 10000 ms of the actions' fleet pass
    And the action is sent to another router than the key's owner
    And 20000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, unknown"
    And the last outcome is "unknown", said because "cannot prove that the idempotency key is new"
    And the action was run 1 times

  Scenario: a new owner runs keys that are newer than its ownership
    Given five routers that know each other, seed 9
    And a new idempotency key with its creation time
    When the key's owner is killed
    And 45000 ms of the actions' fleet pass
    Given a new idempotency key with its creation time
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    Then each sending has one outcome
    And the action was run at most once

  Scenario: a paused router runs what it gets at most once
    Given five routers that know each other, seed 10
    And a permit of router 1
    When router 1 is paused for 6000 ms
    And the action is sent to router 2
    And the action is sent to router 3
    And 30000 ms of the actions' fleet pass
    Then each sending has one outcome
    And the action was run at most once

  Scenario: a router behind a cut keeps its permits
    Given five routers that know each other, seed 11
    And a permit of router 1
    When router 1 is cut off from the others
    And the action is sent to router 2
    And the action is sent to router 1
    And 20000 ms of the actions' fleet pass
    And the cut is healed
    And 20000 ms of the actions' fleet pass
    And the action is sent to router 3
    And 20000 ms of the actions' fleet pass
    Then each sending has one outcome
    And the action was run at most once

  Scenario: a graceful stop hands the outcome of a permit over
    Given five routers that know each other, seed 12
    And a permit of router 1
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    And router 1 is stopped gracefully
    And 5000 ms of the actions' fleet pass
    And router 1 is killed
    And 15000 ms of the actions' fleet pass
    And the action is sent to router 3
    And 15000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed, completed"
    And the action was run 1 times

  Scenario: a graceful stop hands a key's ownership over without a gap
    Given five routers that know each other, seed 13
    And a new idempotency key with its creation time
    When the key's owner is stopped gracefully
    And 5000 ms of the actions' fleet pass
    And the action is sent to another router than the key's owner
    And 5000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "completed"
    And the action was run 1 times

  Scenario: asking for the outcome of an unused permit ends the permit
    Given five routers that know each other, seed 14
    And a permit of router 1
    When the outcome of the action is asked of router 2
    And 2000 ms of the actions' fleet pass
    And the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    Then the outcomes of all sendings are "not_run, not_run"
    And the action was run 0 times

  Scenario: a request that was passed on too often is refused
    Given five routers that know each other, seed 15
    And a permit of router 1
    When the action has been passed on 3 times and reaches router 2
    Then the last outcome is "unknown", said because "passed on too often"

  Scenario: a full record of actions refuses before it forgets
    Given five routers that know each other, seed 16
    And a permit of router 1
    And a record of actions with room for none on router 1
    When the action is sent to router 1
    And 2000 ms of the actions' fleet pass
    And the action is sent to router 2
    And 2000 ms of the actions' fleet pass
    Then each sending has one outcome
    And the action was run at most once

  Scenario: a forged permit runs nothing
    Given five routers that know each other, seed 17
    And a permit that no router has issued
    When the action is sent to router 1
    Then the last outcome is "unknown", said because "no router has issued it"
    And the action was run 0 times

  Scenario: many actions around a kill
    Then over 12 seeds of a kill no action is run twice

  Scenario: many actions around a graceful stop
    Then over 12 seeds of a graceful stop no action is run twice

  Scenario: many actions around a pause
    Then over 12 seeds of a pause no action is run twice

  Scenario: many actions around a cut
    Then over 12 seeds of a cut no action is run twice

  Scenario: a key's creation time is read from two forms
    Then the creation time in "t1700000000000-42" is 1700000000000 ms
    And the creation time in "018bcfe5-6800-7abc-8def-0123456789ab" is 1700000000000 ms
    And there is no creation time in "registration-7"
