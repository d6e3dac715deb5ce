Feature: What the end of an attempt says of its server, and what the caller is told
  Scenario Outline: each end has one verdict and one refusal
    Given an attempt that ended as <end>
    Then the verdict on the server is "<verdict>"
    And the caller is told <status> because of "<cause>"
    And after an earlier attempt that may have run the caller is told <late_status>

    Examples:
      | end               | verdict           | status | cause           | late_status |
      | refused as full   | full              | 503    | server_full     | 502         |
      | another server    | gone              | 503    | server_replaced | 502         |
      | a wrong answer    | broken            | 502    | bad_answer      | 502         |
      | a reset           | broken            | 502    | outcome_unknown | 502         |
      | nothing acked     | silent_connection | 502    | outcome_unknown | 502         |

  Scenario: the router's own end of an attempt says something only of a silent server
    Given an attempt that ended as a reset
    Then at the end of the request's time the caller is told 504
    And the verdict is none if the server had answered, and "silent" if not

  Scenario: an answer at the server's deadline says nothing, another error does
    Then a whole answer 504 gives no verdict, 500 "error_status" and 200 "good"
