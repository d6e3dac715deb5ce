Feature: Malformed HTTP input is refused with a typed error
  10,000 inputs, generated with a fixed seed, must not cause a crash, a hang, a
  traceback or an answer without a known code.

  Scenario Outline: 2,500 inputs of the kind "<kind>"
    Given an HTTP server for callers with in-memory connections
    When it receives 2500 inputs of the kind "<kind>"
    Then each connection was answered or closed
    And each refusal had a known code and one sentence
    And no exception was unhandled

    Examples:
      | kind             |
      | random bytes     |
      | damaged requests |
      | random bodies    |
      | random headers   |

  Scenario: a client that sends its headers too slowly is refused
    Given an HTTP server for callers with in-memory connections
    When a client sends half of a request line and waits
    Then it gets "slow_sender" with status 408 and is disconnected

  Scenario: a client that sends its body too slowly is refused
    Given an HTTP server for callers with in-memory connections
    When a client sends part of a body and waits
    Then it gets "slow_sender" with status 408 and is disconnected

  Scenario: a client that sends single bytes does not extend its time limit
    Given an HTTP server for callers with in-memory connections
    When a client sends one byte of a header each second
    Then it gets "slow_sender" with status 408 and is disconnected

  Scenario Outline: limits on body and headers
    Given an HTTP server for callers with in-memory connections
    When a client sends <what>
    Then it gets "<code>" with status <status> and is disconnected

    Examples:
      | what                                          | code           | status |
      | a body with a declared length above the limit | body_too_large | 413    |
      | a chunked body above the limit                | body_too_large | 413    |
      | too many headers                              | malformed_http | 400    |
      | headers above the size limit                  | malformed_http | 400    |

  Scenario: connections above the limit are closed
    Given an HTTP server for callers with in-memory connections
    When 6 clients connect where 4 are allowed
    Then 2 of them are closed immediately
    When one of the others disconnects
    Then one more can connect
