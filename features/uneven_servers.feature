Feature: Servers of unequal speed
  Servers share their hosts and state how long work takes there at the moment. A request
  goes where it is expected to be done first, and a figure counts less the older it is.

  Scenario Outline: expected time of a request at a server
    When <n_ahead> requests are at a server of <n_slots> slots that takes <slowness> times as long
    Then a request of 90 ms is expected to take <expected_ms> ms

    Examples:
      | n_ahead | n_slots | slowness | expected_ms |
      | 0       | 6       | 1.0      | 90          |
      | 5       | 6       | 1.0      | 90          |
      | 6       | 6       | 1.0      | 105         |
      | 11      | 6       | 1.0      | 180         |
      | 2       | 6       | 2.5      | 225         |
      | 1       | 0       | 1.0      | 180         |

  Scenario: an old figure gives way to the server's own mean
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of 2.5
    Then its slowness is 2.5 after 0 ms
    And its slowness is between 1.85 and 1.95 after 300 ms
    And its slowness is between 1.28 and 1.35 after 3000 ms

  Scenario: figures that arrive late or twice change nothing
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of 2.5
    And a slowness of 1.0 that is 50 ms old arrives
    And a slowness of 1.0 that is -5000 ms old arrives
    Then its slowness is 2.5 after 0 ms

  Scenario Outline: figures that cannot be right are ignored
    Given a server that stated a slowness of 1.3 every 100 ms for 60 s
    When it states a slowness of <figure>
    Then its slowness is between 1.29 and 1.31 after 0 ms

    Examples:
      | figure |
      | nan    |
      | inf    |
      | -2.5   |
      | 0.0    |
      | 0.01   |
      | 1e9    |
