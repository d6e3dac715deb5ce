Feature: Server outcomes and refusals by how an attempt ended
  Scenario Outline: each way an attempt ends has one server outcome and one refusal
    Given an attempt that ended as <end>
    Then the outcome at the server is "<outcome>"
    And the caller gets <status> because of "<cause>"
    And after an earlier attempt that may have run the caller gets <late_status>

    Examples:
      | end               | outcome           | status | cause           | late_status |
      | refused as full   | full              | 503    | server_full     | 502         |
      | another server    | gone              | 503    | server_replaced | 502         |
      | a wrong answer    | broken            | 502    | bad_answer      | 502         |
      | a reset           | broken            | 502    | outcome_unknown | 502         |
      | nothing acked     | silent_connection | 502    | outcome_unknown | 502         |

  Scenario: an attempt ended by the router has an outcome only if the server was silent
    Given an attempt that ended as a reset
    Then after the request's time limit the caller gets 504
    And the outcome is none if the server had answered, and "silent" if not

  Scenario: an answer at the server's deadline has no outcome, another error has one
    Then a full answer 504 has no outcome, 500 "error_status" and 200 "good"
