Feature: Changes of the store reach all routers in time although its readers lose it
  Two routers read the store for the fleet. On a virtual clock, a message between two
  routers takes 120 ms.

  Scenario Outline: versions come while many routers, the readers among them, are cut off
    Given <n> routers, two of which read the store
    When the first <first> readers and every third router lose the store for 8000 ms
    And the operators write a version each 330 ms meanwhile
    Then each version is known to all routers within 3000 ms

    Examples:
      | n   | first |
      | 77  | 2     |
      | 77  | 4     |
      | 77  | 6     |
      | 61  | 4     |
      | 195 | 6     |

  Scenario: a single version comes while the readers are cut off
    Given 77 routers, two of which read the store
    When the first 4 readers and every third router lose the store for 8000 ms
    And the operators write a version after 2600 ms
    Then each version is known to all routers within 3000 ms

  Scenario: the readers read again when the store is back
    Given 77 routers, two of which read the store
    When the first 4 readers and every third router lose the store for 8000 ms
    And the store is back for 4000 ms
    Then at most 3 routers read it

  Scenario: routers that replace the readers do not all go on reading
    Given 77 routers, two of which read the store
    When the first 2 readers and every third router lose the store for 8000 ms
    Then at most 400 calls reach the store in this time

  Scenario Outline: a reader with a slow link keeps up with a storm of large versions
    Given a reader whose link takes <mbps> Mbit/s and a version of <kb> kB
    When the operators write <n> versions of that size, one each 330 ms
    Then the reader knows each version, or a newer one, within 3000 ms

    Examples:
      | mbps | kb  | n  |
      | 10   | 530 | 12 |
      | 5    | 530 | 12 |
      | 5    | 530 | 24 |
      | 10   | 60  | 24 |

  Scenario: a long list of servers is not read again for a version that was overwritten
    Given a reader whose link takes 10 Mbit/s and a version of 100 kB
    And the store lists 11000 servers
    When the operators write 12 versions of that size, one each 330 ms
    Then the reader has listed the items once
