Feature: A router's control traffic stays within its budget
  One token bucket covers all control bytes and probes; classes have priorities.

  Scenario: messages within the budget are sent without delay
    Given a control budget of 1000 bytes a second and 2000 at once
    When 1 load sums and 1 probes are to go out at 0 ms
    Then 1 load sums and 1 probes went out

  Scenario: load sums are dropped before probes
    Given a control budget of 1000 bytes a second and 2000 at once
    When 60 load sums and 5 probes are to go out at 0 ms
    Then 5 probes and fewer than 60 load sums went out
    And the budget counts what it dropped

  Scenario: text deltas are deferred, not dropped
    Given a control budget of 1000 bytes a second and 2000 at once
    When 5 text deltas of 1000 bytes are to go out at 0 ms
    Then fewer than 5 text deltas went out
    When the control budget waits until 9000 ms
    Then all 5 text deltas went out in their order

  Scenario: the long-run rate holds under constant overload
    Given a control budget of 1000 bytes a second and 2000 at once
    When load sums and probes of more than 5000 bytes are to go out every second for 60 s
    Then at most 1100 bytes a second were sent

  Scenario: received messages are charged too
    Given a control budget of 1000 bytes a second and 2000 at once
    When 40 text deltas of 1000 bytes come in at 0 ms
    And 1 load sums and 0 probes are to go out at 0 ms
    Then 0 load sums and 0 probes went out

  Scenario: requests are not control traffic
    Given a control budget of 1000 bytes a second and 2000 at once
    When 100 offers of attempts are to go out at 0 ms
    Then 100 offers of attempts went out

  Scenario Outline: an offer received after a pause is not run with an untrusted view
    Given a kernel that owns a backend server and has a peer
    When it is not run for <gap_ms> ms and then gets an offer of its peer
    Then the offer leads to <n> dispatches

    Examples:
      | gap_ms | n |
      | 100    | 1 |
      | 5000   | 0 |
