Feature: The kernel dispatches messages to deciders and returns effects
  Production, replay and tests run the same kernel class.

  Scenario: a request goes through a kernel that is its own owner
    Given a kernel of one router with a minimal text
    When a request for "dossier-review" arrives
    Then it is dispatched to "engine-1"
    When the backend server ends its answer with 12 bytes
    Then the caller's outcome is "completed"

  Scenario: a request without any text is refused with the reason
    Given a kernel of one router without a text
    When a request for "dossier-review" arrives
    Then the caller's outcome is "not_run"
    And the sentence contains "this router has not read an operators' text yet"

  Scenario: the same messages and seed give the same effects
    Given a kernel of one router with a minimal text
    When a request for "dossier-review" arrives
    Then a second kernel with the same messages gives the same effects

  Scenario: a pause of the process is reported before the next message
    Given a kernel with a decider that records its messages
    When ticks arrive at 0, 100, 900 and 1701 ms
    Then the recorder received ProcessPaused once, directly before the last tick
