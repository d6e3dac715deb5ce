Feature: Every owner receives the mean load over the fleet
  Aggregators in each data centre sum the reported loads and exchange the sums.

  Scenario Outline: the fleet's sum reaches every owner
    Given <n_members> routers in <n_centres> data centres that share loads
    When every router owns 3 backend servers of "dossier-review" with its number as load
    And the routers share loads for 5000 ms
    Then every router knows the sum over all routers of "dossier-review"

    Examples:
      | n_members | n_centres |
      | 1         | 1         |
      | 5         | 3         |
      | 48        | 4         |

  Scenario: a disconnected router no longer counts
    Given 6 routers in 2 data centres that share loads
    When every router owns 3 backend servers of "dossier-review" with its number as load
    And the routers share loads for 5000 ms
    And router 6 no longer shares its load
    And the routers share loads for 10000 ms
    Then the routers 1 to 5 know the sum over the routers 1 to 5 of "dossier-review"

  Scenario: sums under another list of services are ignored
    Given 2 routers in 2 data centres that share loads
    When every router owns 3 backend servers of "dossier-review" with its number as load
    And router 2 has a text with one more service
    And the routers share loads for 5000 ms
    Then router 1 knows the sum 1 over 3 backend servers of "dossier-review"
