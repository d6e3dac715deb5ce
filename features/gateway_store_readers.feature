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
