Feature: Values from outside are checked where they come in
  Scenario Outline: an entry with an impossible value names no server
    # Guards against numbers and texts that reach a place which cannot take them.
    When another writer's entry has <field> = <value>
    Then it names no server, and the reason names the field

    Examples:
      | field           | value           |
      | coldRemainingMs | 1e30            |
      | coldRemainingMs | 1e308           |
      | coldRemainingMs | true            |
      | slotCount       | 1e30            |
      | slotCount       | -1              |
      | sequence        | 1e300           |
      | sequence        | "1"             |
      | born            | 1152921504606846976 |
      | born            | 1.5             |
      | born            | -1              |
      | address         | "127.0.0.1:0"   |
      | address         | "127.0.0.1:65536" |
      | address         | "127.0.0.1:²"   |
      | address         | "127.0.0.1\r\nA:1" |
      | service         | "a\nb"          |
      | service         | null            |
      | zone            | ["bole"]        |

  Scenario: a key that must not stand in a header names no server
    When another writer's entry has the key "a\r\nDamaskrill-Tenant: desk"
    Then it names no server, and the reason names the field

  Scenario Outline: a configuration with an impossible value is refused as a whole
    When the configuration has <field> = <value> in its first <part>
    Then it is refused with a reason

    Examples:
      | part    | field          | value   |
      | route   | public         | "false" |
      | route   | public         | 1       |
      | route   | timeoutMs      | 1e300   |
      | route   | timeoutMs      | "3000"  |
      | route   | maxAttempts    | -1      |
      | service | coldS          | 1e300   |
      | service | maxConnections | "many"  |
      | tenant  | name           | "a\nb"  |
      | tenant  | priority       | "high"  |

  Scenario Outline: a number in an answer's header is bounded
    When an answer states <header>: <value>
    Then the fleet learns <meaning>

    Examples:
      | header         | value           | meaning                  |
      | Server-Limit   | 306 digits      | a limit of 1000000 a second |
      | Server-Limit   | 5000 digits     | no limit                 |
      | Server-Limit   | -1              | no limit                 |
      | Server-Limit   | 2.5             | a limit of 2.5 a second  |
      | Server-Brittle | 306 digits      | a limit of 1000000 a second |
      | Retry-After    | 306 digits      | a pause of 86400 s       |

  Scenario Outline: an answer of the store that cannot be decoded is a typed error
    When the store answers <answer>
    Then the call ends with "store_answer_unreadable"

    Examples:
      | answer                                                           |
      | {"atRev": 5}                                                     |
      | {"atRev": 5, "events": []}                                       |
      | {"atRev": -1, "items": []}                                       |
      | {"atRev": 1e300, "items": []}                                    |
      | {"atRev": 5, "items": [{"key": 7, "revision": 1}]}               |
      | {"atRev": 5, "items": [{"key": "a", "revision": "x", "value": ""}]} |
      | {"atRev": 5, "items": [7]}                                       |
      | {"atRev": 5, "items": []} in era 5000 digits                     |
      | [[[                                                              |

  Scenario: drawn entries and configurations end in an item or a typed error
    When 3000 entries and configurations are drawn, each with some fields of any value
    Then each is an item within its bounds or has a typed error, and can be logged
