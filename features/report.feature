Feature: Reports on error budget burn are built from logs
  The expected budgets, burn rates and root causes are computed by hand or by an
  independent count over the requests.

  Scenario: a log whose budgets and burn rates are known
    # 400 minutes with 10 requests each. In the last 60 minutes, all 6 requests of team
    # "survey" and 2 of the 4 of team "desk" are lost. The budget is 5 % of 4,000 = 200
    # requests; 480 are lost.
    Given a log of 400 minutes in which "survey" is refused and "desk" is sent to a cold engine in the last 60
    When a JSON report is made from it
    Then the report has these groups:
      | service        | team   | requests | lost | budget left | fast long | fast short | slow long | slow short | state     |
      | dossier-review |        | 4000     | 480  | -1.4        | 16.0      | 16.0       | 2.6667    | 16.0       | fast burn |
      | dossier-review | survey | 2400     | 360  | -2.0        | 20.0      | 20.0       | 3.3333    | 20.0       | fast burn |
      | dossier-review | desk   | 1600     | 120  | -0.5        | 10.0      | 10.0       | 1.6667    | 10.0       | budget spent |
    And the report attributes these losses:
      | cause                                                          | lost | share |
      | data centre 'bole' was taken out by text version 812           | 360  | 0.75  |
      | engine-3 has just started and has only its cold-start capacity | 120  | 0.25  |

  Scenario Outline: a random log agrees with a count over its requests
    Given a random log of 2000 requests from seed <seed>
    When a JSON report is made from it
    Then requests, losses, burn rates and causes agree with a count over the requests

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: objectives come from the operators' text
    Given a log with 100 completed requests whose first token came after 900 ms
    When a JSON report is made from it
    Then it counts 100 lost requests of "dossier-review"
    When a JSON report is made with a text that allows 1000 ms to the first token
    Then it counts 0 lost requests of "dossier-review"

  Scenario: a request that its caller ended does not count as lost
    Given a log with 50 requests that their callers abandoned and 50 completed ones
    When a JSON report is made from it
    Then it counts 0 lost requests of "dossier-review"
    And it counts 50 requests that the callers ended

  Scenario: a request whose end two routers logged counts once
    Given a log in which 20 requests were ended on two routers
    When a JSON report is made from it
    Then the report counts 20 requests of "dossier-review"

  Scenario: damaged lines are counted and named
    Given a log with 30 completed requests and 25 damaged lines between them
    When a JSON report is made from it
    Then the report counts 30 requests of "dossier-review"
    And it counts 25 damaged lines and names the first 20 of them
    When a text report is made from it
    Then the page contains "25 damaged lines skipped"

  Scenario: teams beyond the limit are summed
    Given a log with 2 requests of each of 3000 teams
    When a JSON report is made from it
    Then it has 201 groups of teams, and their requests add up to 6000
    And the requests beyond the limit are counted as others

  Scenario: the page is self-contained and escapes what it shows
    Given a log with a lost request of team "<script>alert(1)</script>"
    When an HTML report is made from it
    Then the page contains no script and loads nothing
    And the page contains 3 plots
    And the page contains "&lt;script&gt;alert(1)&lt;/script&gt;"

  Scenario Outline: a log without requests yields a sentence instead of tables
    Given an empty log
    When a <form> report is made from it
    Then the page contains "The logs contain no finished request."

    Examples:
      | form |
      | text |
      | HTML |

  Scenario: an unreadable log and an unknown format are refused with one line
    When a report is requested from a log that does not exist
    Then the report is refused with status 2 and "log_unreadable"
    When a report is requested in the format "pdf"
    Then the report is refused with status 2 and "invalid_parameter"
