Feature: A gateway ends no attempt before another one is known to succeed
  The platform has two engines, of which "the first" gets a caller's prompt first.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready

  Scenario Outline: a read is answered by the other server if the silent one then fails
    Given app server "a-1" is silent for 500 ms
    And the other app server answers after 200 ms
    And app server "a-1" misbehaves by <fault> 300 ms after a caller's read
    When callers send reads until one has gone to "a-1" first
    Then all these reads are answered with 200

    Examples:
      | fault    |
      | error    |
      | no_seal  |
      | other_id |
      | cut      |

  Scenario: a read is answered by a silent server if the other one refuses it late
    Given app server "a-1" is silent for 900 ms
    And the other app server refuses requests after 350 ms
    When callers send reads until one has gone to "a-1" first
    Then all these reads are answered with 200

  Scenario: a read is answered by a silent server if the other one does not answer
    Given app server "a-1" is silent for 900 ms
    And the other app server hangs
    When callers send reads until one has gone to "a-1" first
    Then the read that went to "a-1" first is answered with 200

  Scenario: a stream goes on at a silent server if the other one refuses it late
    Given the first engine of a prompt is silent for 1800 ms after 2 events
    And the other engine refuses requests after 350 ms
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

  Scenario: a stream goes on at a silent server if the other one answers the resume with 404
    Given the first engine of a prompt is silent for 1500 ms after 2 events
    And the other engine answers with status 404
    When a caller sends a check with that prompt
    Then the status is 200 and the body holds events 1 to 5 once each

  Scenario: a caller that leaves does not end another caller's request
    Given the first engine of a prompt is silent for 1400 ms after 2 events
    And connections to the other engine time out
    When a caller of a check leaves while its held answer is complete
    Then a second caller whose request uses that connection gets its answer

  Scenario: a request is not held beyond its limit for another server
    Given both app servers misbehave by hang
    When a caller sends a read with a deadline of 420 ms
    Then the reply arrives within 560 ms

  Scenario: looking for another server does not count as requests for a prompt
    Given the first engine of a prompt is silent for 2300 ms after 2 events
    And the retry budget is used up
    And the gateway's counts of prompts are observed
    When a caller sends a check with that prompt
    Then its prompt was counted at most 2 times

  Scenario: a stream that leaves a silent server does not depend on its cache
    Given the first engine of a prompt is silent for 60000 ms after 2 events
    When a caller sends a check with that prompt
    Then the other engine received it without the silent engine as its cache source

  Scenario: a connect that a request's limit ends does not eject the server
    Given connections to both app servers hang
    When a caller sends a read with a deadline of 120 ms
    Then no server is ejected
