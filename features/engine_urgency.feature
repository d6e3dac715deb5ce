Feature: Engines are told how urgent a request is

  Scenario: short prompts of urgent callers do not wait behind long ones
    Given an engine that reads 44.2 tokens a ms and the most urgent first
    When 4 prompts of 9200 tokens of priority 2 and 14 of 700 of priority 0 come each second for 120 s
    Then at least 98 in 100 of priority 0 are read within 380 ms
    And without urgency more than 10 in 100 of them are not

  Scenario: the least urgent are served while the most urgent could fill the engine
    Given an engine that reads 44.2 tokens a ms and the most urgent first
    When 70 prompts of 700 tokens of priority 2 and 90 of 700 of priority 0 come each second for 60 s
    Then at least 1 in 20 of priority 2 are read within 4000 ms

  Scenario Outline: the order of ranks is kept, and a moved request goes before new ones of its rank
    Given <n> ranks of priorities
    Then no urgency of a rank is less urgent than that of a later rank
    And a request that was at a server is more urgent than new ones of its rank
    And the urgencies are from 0 to 9

    Examples:
      | n    |
      | 1    |
      | 3    |
      | 5    |
      | 6    |
      | 9    |
      | 10   |
      | 11   |
      | 5000 |

  Scenario: ranks of up to five priorities are apart, also from moved requests
    Given 5 ranks of priorities
    Then all urgencies of new and moved requests differ

  Scenario: priorities far apart, negative or unknown have a rank
    Given ranks of the priorities -7, 0, 3 and 9000000000000000
    Then the ranks of -7, 3, 4 and 9000000000000001 are 0, 2, 3 and 3

  Scenario Outline: with one priority, only engines that state how long work takes are told
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And all its servers state the load "<load>"
    When the gateway gets 12 streams and 4 reads whose callers state urgency 0
    Then the servers got <told> urgency from the second stream at any engine on
    And app servers got no urgency

    Examples:
      | load         | told |
      | 1,0,8        | no   |
      | 1,0,8,100    | an   |
      | 1,0,8,-3     | no   |
      | 1,0,8,1e9    | no   |
      | 1,0,8,999999 | no   |
      | 1,0          | no   |
      | 1,x,8,100    | no   |

  Scenario Outline: large fleets tell engines where the configuration has several priorities
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And the operators give the team priority 0
    And a gateway that is ready
    And it knows of <n> routers
    And all its servers state the load "1,0,8"
    When the gateway gets 12 streams and 4 reads whose callers state urgency 0
    Then all streams of the team are stated as urgent as "<urgency>"
    And app servers got no urgency

    Examples:
      | n  | urgency |
      | 13 | 1       |
      | 12 | none    |

  Scenario: a stream that goes on at another engine is more urgent than new ones
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And all its servers state the load "1,0,8,100"
    When the gateway gets 12 streams and 4 reads whose callers state urgency 0
    And the gateway gets 40 streams that callers resume after event 2
    Then the resumed ones are stated as urgent as 0 and the others as 1
