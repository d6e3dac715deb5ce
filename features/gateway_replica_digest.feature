Feature: A replica that lacks a change is found by comparison with those of peers
  Scenario: a router that lacks a change for good reads the store anew
    # Guards against a router that counts itself complete and never is.
    Given a platform with a server of each service
    And 2 more gateways that know the first one
    When a gateway that does not read the store loses the entry "app-1"
    Then within 7000 ms it has the entry "app-1" again
    And a log names the difference

  Scenario: replicas that are the same are never read anew
    Given a platform with a server of each service
    And 2 more gateways that know the first one
    When the operators write 40 versions within 4000 ms
    And 4000 ms pass
    Then no log names a difference

  Scenario Outline: only replicas at the same position that differ for a while are read
    When a peer tells its digest <reports>
    Then the store is read <n> times

    Examples:
      | reports                                             | n |
      | other at 0, other at 3000                           | 1 |
      | other at 0, other at 2900                           | 0 |
      | other at 0, same at 1000, other at 3100             | 0 |
      | other at 0, none at 1500, other at 3000             | 1 |
      | elsewhere at 0, elsewhere at 5000                   | 0 |
      | other at 0, elsewhere at 1000, other at 3000        | 1 |
      | other at 0, other at 3000, other at 6100            | 1 |
      | other at 0, other at 3000, other at 9000, other at 13000 | 2 |

  Scenario: replicas have the same digest if and only if they have the same changes
    Given two replicas that receive 300 drawn changes, lists and eras, the one all of them
    Then their digests are the same exactly when their items are
