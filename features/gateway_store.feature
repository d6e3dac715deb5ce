Feature: Gateways believe what the store says, also through each other
  Scenario: a gateway without a configuration refuses plainly
    Given a platform whose store is empty
    And a gateway that has started
    When a caller sends a read
    Then the status is 503

  Scenario Outline: a store that fails does not end service
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When the store becomes <mode> for 1500 ms
    And 6 callers send a read
    Then all statuses are 200
    When the store is good again and app server "a-1" says that it leaves
    Then the gateway knows within 3000 ms that "a-1" leaves

    Examples:
      | mode      |
      | busy      |
      | many      |
      | silent    |
      | reset     |
      | rubbish   |
      | compacted |

  Scenario: in a large fleet no gateway keeps links to all others
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 16 gateways in two data centres that start at the same time
    Then within 8000 ms each knows all 16 and the 3 seeds have fewer than 12 links
    And within 3000 ms no more than 3 of them call the store
    When a caller sends a chat
    Then within 2000 ms all 16 know which engine has its prefix and what load it stated

  Scenario: a gateway whose task fails says so and stops, to be started again
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When its task for the links between routers fails
    Then the log tells of "task_failed" and the gateway is asked to stop

  Scenario: a gateway that the store refuses learns all from another
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When a second gateway starts that cannot reach the store
    Then the second gateway is ready within 3000 ms
    When app server "a-1" says that it leaves
    Then the second gateway knows within 1500 ms that "a-1" leaves

  Scenario: rubbish in the store names no server and breaks nothing
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    When entries of another writer come into the store
    And a configuration comes that cannot be used
    And 6 callers send a read
    Then all statuses are 200
    And the log tells of "server_entry_refused" and "configuration_refused"

  Scenario: an entry that lapsed with the store away is kept until its return has passed
    Given a catalog with server "a-1" whose store returned at 10000 ms
    When the entry lapses at 10100 ms
    Then the server may be used at 11000 ms
    And the server is gone at 12400 ms

  Scenario: an entry that lapses with the store there is gone at once
    Given a catalog with server "a-1" whose store returned at 10000 ms
    When the entry lapses at 20000 ms
    Then the server is gone at 20000 ms

  Scenario: a copy takes changes in the order of their revisions
    Given an empty copy of the store
    When changes of one key come with revisions 5, 3 and 7 in this order
    Then the copy holds the one of revision 7
    When a list as of revision 9 comes without the key
    Then the copy is empty
    And the change of revision 6 does not bring the key back

  Scenario: a peer that is behind gets changes, or all items if they are gone
    Given an empty copy of the store
    When a list as of revision 20 and 2500 changes come
    Then the changes after revision 2000 can be told
    And the changes after revision 21 cannot be told

  Scenario: a gateway that starts with the store away is ready soon after its return
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started
    When 4000 ms have passed and the store is good again
    Then the gateway is ready within 350 ms

  Scenario: a request that comes in the moment of the start waits for the configuration
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started
    When a caller sends a read and the store is good again 80 ms later
    Then the status is 200

  Scenario: a request at the start outlasts the longest pause between two calls
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the store is busy
    And a gateway that has started and takes the longest pauses between calls
    When a caller sends a read 80 ms after the first call and the second is refused too
    Then the status is 200

  Scenario: what peers tell of an old contact is no return of the store
    Given a router whose last contact with the store was at 1000 ms
    When a peer tells at 6000 ms of a contact at 1003 ms
    Then the store has not returned
    When a peer tells at 7000 ms of a contact at 6990 ms
    Then the store has returned

  Scenario: a copy is out of date after a pause of the process
    Given a router whose last contact with the store was at 1000 ms
    When the process finds that its host was suspended
    Then the copy is not fresh at 1001 ms
    And a contact at 1002 ms makes it fresh at 1003 ms

  Scenario: a server at whose address a newer one has started gets nothing new
    Given a catalog with a server "a-1" that started at 1000 at an address
    When server "a-2" is written that started at 2000 at the same address
    Then only "a-2" of them may be used
    When server "a-2" disappears
    Then only "a-1" of them may be used

  Scenario: an older entry at an address takes nothing from the newer server
    Given a catalog with a server "a-2" that started at 2000 at an address
    When server "a-1" is written that started at 1000 at the same address
    Then only "a-2" of them may be used

  Scenario Outline: loads are told more often while a large part of the engines is out
    Given a catalog with 6 engines in each of <n> data centres
    Then no large part is out
    When one of the data centres is taken out
    Then a large part is out: <is_out>

    Examples:
      | n | is_out |
      | 3 | yes    |
      | 5 | no     |
