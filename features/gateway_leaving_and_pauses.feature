Feature: Gateways respect servers that announce that they leave or ask for a pause
  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And a second gateway that is ready

  Scenario Outline: a server that announces its leaving in an answer gets nothing more
    When server "<server>" announces that it leaves with <answer>
    Then no further request of 12 reaches "<server>"
    And its idle connections are closed within 300 ms
    And within 500 ms the second gateway sends nothing to "<server>" either
    And the log of the first gateway has 1 line "server_leaving"

    Examples:
      | server | answer           |
      | a-1    | a success        |
      | a-1    | an error         |
      | a-1    | a refusal        |
      | e-1    | a stream         |

  Scenario Outline: a server that asks for a pause gets nothing until the pause ends
    When server "a-1" refuses a request and asks for a pause of "<seconds>" s
    Then 10 reads are answered by the other server within <busy_ms> ms
    And "a-1" was not ejected, and the pause is logged once
    And the server gets requests again after <wait_ms> ms: <is_back>

    Examples:
      | seconds | busy_ms | wait_ms | is_back |
      | 0.3     | 250     | 400     | yes     |
      | 2       | 1500    | 2100    | yes     |
      | 30      | 1500    | 1000    | no      |
      | 1e9     | 1500    | 1000    | no      |

  Scenario Outline: a value that states no time is ignored
    When server "a-1" refuses a request and asks for a pause of "<value>" s
    Then no pause is logged

    Examples:
      | value                         |
      | soon                          |
      | -1                            |
      | 0                             |
      | nan                           |
      | inf                           |
      | Fri, 04 Dec 2026 09:00:00 GMT |

  Scenario: if all servers ask for a pause, callers hear the shortest time at once
    When both app servers ask for pauses of 2 s and 5 s
    And 8 callers send a read
    Then each is refused within 100 ms with a Retry-After of 1.0 to 2.5 s
    And the times differ

  Scenario: an extra copy of an answer is not taken for the next request's
    Given both app servers misbehave by late_copy
    When 12 callers send a read one after another
    Then each successful reply is the answer to its own request

  Scenario: an extra copy of a refusal does not make a run action "not run"
    Given both app servers misbehave by late_refusal
    When 12 callers send an issuance one after another
    Then no action that has run is reported as not run, and none has run twice

  Scenario: a late copy of a rejection is not taken for the answer to its repeat
    # Guards against an action that runs twice, or is reported as not run, after a copy.
    Given both app servers misbehave by copied_refusal
    When 12 callers send an issuance one after another
    Then no action that has run is reported as not run, and none has run twice
    And some of these actions have run

  Scenario: an idle connection that has carried a request is used for others only
    Given a pool with two idle connections, the newer of which has carried "q1"
    Then "q1" gets the other one, and "q2" the one that has carried "q1"
    And "q1" gets none if each idle connection has carried it

  Scenario: a stalled stream that sends a byte now and then is resumed elsewhere
    Given engine "e-1" misbehaves by drip
    And engine "e-2" behaves
    When 4 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each

  Scenario: a slow stream without a fault is not interrupted
    Given routes with a limit of 9000 ms, a target of 2000 ms and pauses of 400 ms
    And the engines take 1300 ms for an event
    When a caller who waits 9000 ms sends a check
    Then all streams hold events 1 to 5 once each
    And the stream ran at one engine

  Scenario: a planned stop under load cuts no request that was passed on
    Given the servers take 30 ms for an issuance
    When 20 callers send issuances on kept connections and the gateway is stopped
    Then each issuance that ran was answered completely
