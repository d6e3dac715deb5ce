Feature: The relay joins attempts into one answer and trusts no single hop
  Bytes for anything but the present attempt are dropped, and an answer is whole only
  if its length and digest are those that the owner states.

  Scenario: bytes of an earlier attempt that come late are dropped
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    And the request "r1" is bound to attempt "r1.2"
    And "late" arrives for "r1.1" at offset 6
    And "world" arrives for "r1.2" at offset 0
    Then the caller of "r1" has "hello world"
    And 1 chunk was dropped

  Scenario: the next attempt starts where the broken one stopped
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    Then binding "r1" to attempt "r1.2" asks for offset 6

  Scenario: an answer that is held back starts anew
    Given a relay with a whole request "r1" bound to attempt "r1.1"
    When "half" arrives for "r1.1" at offset 0
    Then binding "r1" to attempt "r1.2" asks for offset 0
    When "all of it" arrives for "r1.2" at offset 0
    Then the caller of "r1" has "all of it"

  Scenario: crossed answers reach their own callers
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    And a streamed request "r2" bound to attempt "r2.1"
    When "one" arrives for "r2.1" at offset 0
    And "two" arrives for "r1.1" at offset 0
    And "three" arrives for "r2.1" at offset 3
    Then the caller of "r1" has "two"
    And the caller of "r2" has "onethree"

  Scenario: a lost chunk is found by the length
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    And "world" arrives for "r1.1" at offset 8
    Then the owner's end of "r1.1" with the bytes "hello --world" is a failure
    And the caller of "r1" has "hello "
    And the answer to "r1" can still become whole

  Scenario: a changed byte is found by the digest
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hallo" arrives for "r1.1" at offset 0
    Then the owner's end of "r1.1" with the bytes "hello" is a failure
    And the answer to "r1" can never become whole

  Scenario: an unharmed answer is whole
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello" arrives for "r1.1" at offset 0
    Then the owner's end of "r1.1" with the bytes "hello" is an end

  Scenario: how far a lost router's attempts came is known
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello" arrives for "r1.1" at offset 0
    Then the progress of the router "10.0.0.2:7000" is 5 bytes of "r1.1"

  Scenario: an action's answer is kept for the caller that asks again
    Given a relay with an action "r1" bound to attempt "r1.1"
    When "licence 7" arrives for "r1.1" at offset 0
    And the answer to "r1" is complete
    And "r2" asks for the kept answer of "r1"
    Then the caller of "r2" has "licence 7"

  Scenario: kept answers stay within their memory
    When 100 answers of 1000 bytes are kept within 10000 bytes
    Then 10 of them are still kept, the newest ones
