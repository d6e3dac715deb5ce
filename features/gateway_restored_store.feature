Feature: Gateways follow a store that is restored from a copy some seconds old
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And a copy of the store is taken

  Scenario: changes are seen after a restore, without a storm of calls
    When 30 more items are written and the store is restored
    And app server "a-1" starts draining
    Then the gateway lists "a-1" as draining within 1500 ms
    And within 3000 ms the gateway calls the store at most 12 times
    And the log of the first gateway has 1 line "store_restored"

  Scenario: two restores in a row
    When 30 more items are written and the store is restored
    And 30 more items are written and the store is restored
    And app server "a-1" starts draining
    Then the gateway lists "a-1" as draining within 1500 ms

  Scenario: a router that cannot reach the store learns of the restore from its peer
    When a second gateway starts that cannot reach the store
    Then the second gateway is ready within 3000 ms
    When 30 more items are written and the store is restored
    Then within 1500 ms both gateways are in the new era
    When app server "a-1" starts draining
    Then the second gateway lists "a-1" as draining within 1500 ms

  Scenario: the readers have ended when the store is restored
    When a second gateway starts
    And the first gateway ends
    And 30 more items are written and the store is restored
    And app server "a-1" starts draining
    Then the second gateway lists "a-1" as draining within 4000 ms

  Scenario: a key withdrawn after the copy stays withdrawn
    When the operators withdraw "key-1"
    And a caller sends a read with key "key-1"
    Then the status is 401
    When the store is restored
    And a caller sends a read with key "key-1"
    Then the status is 401
    When a second gateway starts
    Then the second gateway refuses "key-1" within 2000 ms

  Scenario: a server that left after the copy gets no requests
    When app server "a-1" starts draining
    Then the gateway lists "a-1" as draining within 1500 ms
    When the store is restored
    And 12 callers send a read
    Then all statuses are 200
    And server "a-1" has run no request
    When a second gateway starts
    Then the second gateway knows within 2000 ms that "a-1" leaves

  Scenario: a server whose entry was removed after the copy waits for a new write
    When the entry of "a-1" is removed
    And the store is restored
    Then the gateway does not use "a-1"
    When 12 callers send a read
    Then all statuses are 200
    And server "a-1" has run no request
    When app server "a-1" writes its entry again
    Then the gateway uses "a-1" within 1500 ms

  Scenario: a server that the copy lacks is kept while it can write again
    When app server "a-3" starts and the gateway uses it
    And the store is restored
    Then the gateway uses "a-3" within 100 ms
    When app server "a-3" writes its entry again
    And 3000 ms pass
    Then the gateway uses "a-3" within 100 ms

  Scenario: a data centre taken out after the copy stays out until the operators' next word
    When the data centre "bole" is taken out of service
    And a caller sends a read
    Then the status is 503
    When the store is restored
    And a caller sends a read
    Then the status is 503
    When the data centre "bole" is taken out again and put back
    Then a read succeeds within 1500 ms

  Scenario: replicas converge to the newest era whatever arrives in which order
    Given 400 seeded histories of a store with up to 4 eras
    When lists, watches and frames of peers reach 4 replicas in random order
    Then no replica goes back, and all end in the store's newest state

  Scenario: unconfirmed facts end with their time
    Given a catalog in which a restored store lacks an order to take out "bole"
    Then "bole" is out for 9999 ms and back after 10000 ms
