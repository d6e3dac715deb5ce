Feature: A recorded trace is replayed and compared with expected outcomes
  Outcomes are derived from the product's guarantees; a difference fails the trace.

  Background:
    Given a trace of one router that dispatches a chat to "engine-1"

  Scenario: a trace whose expected outcomes are met passes
    Given the trace expects the outcome of "request-1" to be "completed"
    And the trace expects at most 1 dispatches of "request-1"
    When the trace is replayed
    Then the replay's exit status is 0
    And its row ends with "2 stated outcomes, all hold"

  Scenario: a difference is printed with expected and actual result
    Given the trace expects the outcome of "request-1" to be "not_run"
    When the trace is replayed
    Then the replay's exit status is 1
    And its output contains "outcome of request-1" with "not_run" and "completed"

  Scenario: two replays print the same bytes
    Given the trace expects the outcome of "request-1" to be "not_run"
    When the trace is replayed
    Then a second replay prints the same bytes

  Scenario Outline: an invalid trace is rejected with its line and code
    Given line <line> of the trace is replaced by '<content>'
    When the trace is replayed
    Then the replay's exit status is 2
    And the error contains line <line> and "<code>"

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

  Scenario: an input with an earlier time than the previous one is rejected
    Given a last line with an earlier time than the others is added to the trace
    When the trace is replayed
    Then the replay's exit status is 2
    And the error contains the trace's last line and "trace_order_invalid"

  Scenario: a file that does not exist is rejected
    When a trace file that does not exist is replayed
    Then the replay's exit status is 2

  Scenario: the replay of a recorded file has the same effects
    Given a recorder that records the inputs of a router
    When its file is replayed with the expected outcome "completed"
    Then the replay's exit status is 0

  Scenario: rotated files are limited in number and each can be replayed on its own
    Given a recorder with files of 4000 bytes that records 100 chats
    Then at most 3 files are retained
    And each of the recorder's files is replayed without an error
    And the newest of the recorder's files contains the operators' text

  Scenario: all routers sample the same requests
    Given two recorders that record 300 in a thousand of 400 requests
    Then both recorded the same requests
    And between 60 and 180 requests were recorded
    And a recorded request's attempts were recorded with it

  Scenario: every kind of expected outcome survives serialization
    Then each kind of expected outcome is unchanged after it was written and read
