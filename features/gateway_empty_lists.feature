Feature: An empty list in the configuration allows nothing
  Background:
    Given a platform with a server of each service

  Scenario Outline: a service is not opened when its last key is taken away
    # Guards against a request that runs with any key, or none, once no team holds one.
    When the operators' teams are <teams>
    Then reads with the keys "<keys>" are answered <statuses>
    And a read on a public route is answered 200

    Examples:
      | teams                                    | keys             | statuses    |
      | [{"name": "desk", "apiKeys": ["key-1"]}] | key-1 key-9 none | 200 401 401 |
      | [{"name": "desk", "apiKeys": []}]        | key-1 key-9 none | 401 401 401 |
      | []                                       | key-1 key-9 none | 401 401 401 |
      | [{"name": "desk", "apiKeys": [""]}]      | key-1 none       | 401 401     |
      | not named                                | key-1 key-9 none | 200 200 200 |
      | null                                     | key-1 none       | 200 200     |

  Scenario Outline: a route or team that is allowed in no region is not allowed in all
    When the allowed regions of the <subject> are <regions>
    Then a read is answered <status>

    Examples:
      | subject | regions     | status |
      | route   | []          | 503    |
      | route   | null        | 200    |
      | route   | ["addis"]   | 200    |
      | team    | []          | 503    |
      | team    | ["nowhere"] | 503    |
      | team    | ["addis"]   | 200    |
