Feature: The relay assembles attempts into one answer and verifies each hop
  Bytes of any attempt but the current one are dropped, and an answer is complete only
  if its length and digest match those that the owner reports.

  Scenario: late bytes of an earlier attempt are dropped
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    And the request "r1" is bound to attempt "r1.2"
    And "late" arrives for "r1.1" at offset 6
    And "world" arrives for "r1.2" at offset 0
    Then the caller of "r1" has "hello world"
    And 1 chunk was dropped

  Scenario: the next attempt resumes at the offset where the previous one failed
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    Then binding "r1" to attempt "r1.2" returns offset 6

  Scenario: an answer that is not streamed is requested again from the start
    Given a relay with an unstreamed request "r1" bound to attempt "r1.1"
    When "half" arrives for "r1.1" at offset 0
    Then binding "r1" to attempt "r1.2" returns offset 0
    When "all of it" arrives for "r1.2" at offset 0
    Then the caller of "r1" has "all of it"

  Scenario: interleaved answers reach their own callers
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    And a streamed request "r2" bound to attempt "r2.1"
    When "one" arrives for "r2.1" at offset 0
    And "two" arrives for "r1.1" at offset 0
    And "three" arrives for "r2.1" at offset 3
    Then the caller of "r1" has "two"
    And the caller of "r2" has "onethree"

  Scenario: a lost chunk is detected by the length
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello " arrives for "r1.1" at offset 0
    And "world" arrives for "r1.1" at offset 8
    Then the owner's end of "r1.1" with the bytes "hello --world" is a failure
    And the caller of "r1" has "hello "
    And the answer to "r1" can still become complete

  Scenario: a changed byte is detected by the digest
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hallo" arrives for "r1.1" at offset 0
    Then the owner's end of "r1.1" with the bytes "hello" is a failure
    And the answer to "r1" can no longer become complete

  Scenario: an answer with matching length and digest is complete
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello" arrives for "r1.1" at offset 0
    Then the owner's end of "r1.1" with the bytes "hello" is an end

  Scenario: the progress of a lost router's attempts is known
    Given a relay with a streamed request "r1" bound to attempt "r1.1"
    When "hello" arrives for "r1.1" at offset 0
    Then the progress of the router "10.0.0.2:7000" is 5 bytes of "r1.1"

  Scenario: an action's answer is cached for retries of the caller
    Given a relay with an action "r1" bound to attempt "r1.1"
    When "licence 7" arrives for "r1.1" at offset 0
    And the answer to "r1" is complete
    And "r2" is answered with the cached answer of "r1"
    Then the caller of "r2" has "licence 7"

  Scenario: cached answers stay within their memory limit
    When 100 answers of 1000 bytes are cached within 10000 bytes
    Then only the newest 10 of them are still cached
