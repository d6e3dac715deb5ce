Feature: A recorded trace is replayed and held against stated outcomes
  Outcomes are stated from the product's promises; a difference fails the trace.

  Background:
    Given a trace of one router that dispatches a chat to "engine-1"

  Scenario: a trace whose stated outcomes come about holds
    Given the trace states that "request-1" has the outcome "completed"
    And the trace states at most 1 dispatches of "request-1"
    When the trace is replayed
    Then the replay's exit status is 0
    And its row ends with "2 stated outcomes, all hold"

  Scenario: a difference is shown with both sides
    Given the trace states that "request-1" has the outcome "not_run"
    When the trace is replayed
    Then the replay's exit status is 1
    And its output shows "outcome of request-1" with "not_run" against "completed"

  Scenario: two replays print the same bytes
    Given the trace states that "request-1" has the outcome "not_run"
    When the trace is replayed
    Then a second replay prints the same bytes

  Scenario Outline: what is not a trace is refused with its line and code
    Given line <line> of the trace is replaced by '<content>'
    When the trace is replayed
    Then the replay's exit status is 2
    And the refusal names line <line> and "<code>"

    Examples:
      | line | content | code |
      | 1 | {"format": "other"} | trace_header_invalid |
      | 1 | {"format": "damaskrill-trace", "version": 99} | trace_version_unknown |
      | 1 | {"format": "damaskrill-trace", "version": 1, "seed": 1, "routers": []} | trace_header_invalid |
      | 2 | not JSON | trace_not_json |
      | 2 | [1] | trace_not_json |
      | 2 | {"at_ms": -1, "router": "r1", "message": {"type": "Tick"}} | trace_order_invalid |
      | 2 | {"at_ms": "1", "router": "r1", "message": {"type": "Tick"}} | trace_order_invalid |
      | 2 | {"at_ms": 0, "router": "r9", "message": {"type": "Tick"}} | trace_router_unknown |
      | 2 | {"at_ms": 0, "router": "r1", "message": {"type": "Strange"}} | trace_message_invalid |
      | 2 | {"at_ms": 0, "router": "r1", "message": {"type": "Tick", "x": 1}} | trace_message_invalid |
      | 2 | {"at_ms": 0, "router": "r1"} | trace_message_invalid |
      | 2 | {"at_ms": 0, "expect": "luck"} | trace_expectation_invalid |
      | 2 | {"at_ms": 0, "expect": "outcome"} | trace_expectation_invalid |

  Scenario: an input that lies before the previous one is refused
    Given a last line whose time lies before the others is added to the trace
    When the trace is replayed
    Then the replay's exit status is 2
    And the refusal names the trace's last line and "trace_order_invalid"

  Scenario: a file that does not exist is refused
    When a trace file that does not exist is replayed
    Then the replay's exit status is 2

  Scenario: a recorder's file replays to the same effects
    Given a recorder that takes the inputs of a router
    When its file is replayed with the stated outcome "completed"
    Then the replay's exit status is 0

  Scenario: a recorder's files stay below their size and each replays alone
    Given a recorder with files of 4000 bytes that takes 100 chats
    Then at most 3 files were kept
    And each of the recorder's files is replayed without a refusal
    And the newest of the recorder's files holds the operators' text

  Scenario: all routers sample the same requests
    Given two recorders that record 300 in a thousand of 400 requests
    Then both recorded the same requests
    And between 60 and 180 requests were recorded
    And a recorded request's attempts were recorded with it

  Scenario: every kind of stated outcome survives its conversion
    Then each kind of stated outcome is the same after it was written and read
