Feature: A router's control traffic stays within its budget
  One token bucket covers all control bytes and probes; classes have priorities.

  Scenario: messages within the budget are sent without delay
    Given a control budget of 1000 bytes per second with a burst of 2000
    When 1 load sums and 1 probes are to be sent at 0 ms
    Then 1 load sums and 1 probes were sent

  Scenario: load sums are dropped before probes
    Given a control budget of 1000 bytes per second with a burst of 2000
    When 60 load sums and 5 probes are to be sent at 0 ms
    Then 5 probes and fewer than 60 load sums were sent
    And the budget counts the dropped messages

  Scenario: text deltas are deferred, not dropped
    Given a control budget of 1000 bytes per second with a burst of 2000
    When 5 text deltas of 1000 bytes are to be sent at 0 ms
    Then fewer than 5 text deltas were sent
    When the control budget is polled until 9000 ms
    Then all 5 text deltas were sent in order

  Scenario: the long-run rate holds under constant overload
    Given a control budget of 1000 bytes per second with a burst of 2000
    When load sums and probes of more than 5000 bytes are to be sent every second for 60 s
    Then at most 1100 bytes per second were sent

  Scenario: received messages are charged too
    Given a control budget of 1000 bytes per second with a burst of 2000
    When 40 text deltas of 1000 bytes are received at 0 ms
    And 1 load sums and 0 probes are to be sent at 0 ms
    Then 0 load sums and 0 probes were sent

  Scenario: requests are not control traffic
    Given a control budget of 1000 bytes per second with a burst of 2000
    When 100 offers of attempts are to be sent at 0 ms
    Then 100 offers of attempts were sent

  Scenario Outline: an offer received after a pause is not run with an untrusted view
    Given a kernel that owns a backend server and has a peer
    When it is paused for <gap_ms> ms and then receives an offer of its peer
    Then the offer leads to <n> dispatches

    Examples:
      | gap_ms | n |
      | 100    | 1 |
      | 5000   | 0 |
