Feature: A change that cannot be applied keeps no other from being in force
  Scenario: a key is revoked in the same answer of the store as a change that fails
    # Guards against changes that the replica counts as received and nobody applies.
    Given a platform with a server of each service
    And 2 more gateways that know the first one
    And changes of the entry "odd" fail
    When the entry "odd" and a configuration without the key "key-2" are written
    Then each gateway answers reads with "key-2" with 401 within 2000 ms
    And each gateway answers reads with "key-1" with 200 within 2000 ms
    And each gateway logs that one change was not applied
    When changes of the entry "odd" no longer fail
    Then each gateway has applied all changes within 1000 ms

  Scenario: a later change of the same key replaces the one that has failed
    Given a platform with a server of each service
    And changes of the entry "odd" fail
    When the entry "odd" and a configuration without the key "key-2" are written
    And the entry "odd" is removed
    And changes of the entry "odd" no longer fail
    Then each gateway has applied all changes within 1000 ms
    And no gateway knows a server "odd"
