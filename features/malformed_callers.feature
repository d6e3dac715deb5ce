Feature: Malformed input to the caller interface gets a typed error and nothing else
  10,000 inputs, generated with a fixed seed: none may crash, hang, cause a traceback
  or an answer without a known code.

  Scenario Outline: 2,500 inputs of the kind "<kind>"
    Given a caller interface in memory
    When it is fed 2500 inputs of the kind "<kind>"
    Then each connection was answered or closed
    And each refusal had a known code and one sentence
    And no exception escaped

    Examples:
      | kind             |
      | random bytes     |
      | damaged requests |
      | random bodies    |
      | random headers   |

  Scenario: a sender that is too slow is cut
    Given a caller interface in memory
    When a client sends half a header and waits
    Then it is told "slow_sender" with status 408 and cut

  Scenario: a body that is too slow is cut
    Given a caller interface in memory
    When a client sends half a body and waits
    Then it is told "slow_sender" with status 408 and cut

  Scenario: a client that dribbles is cut all the same
    Given a caller interface in memory
    When a client sends one byte of a header each second
    Then it is told "slow_sender" with status 408 and cut

  Scenario Outline: limits on body and headers
    Given a caller interface in memory
    When a client sends <what>
    Then it is told "<code>" with status <status> and cut

    Examples:
      | what                             | code           | status |
      | a body that is announced as long | body_too_large | 413    |
      | a body that grows too long       | body_too_large | 413    |
      | too many headers                 | malformed_http | 400    |
      | headers that are too long        | malformed_http | 400    |

  Scenario: connections above the limit are closed
    Given a caller interface in memory
    When 6 clients connect where 4 are allowed
    Then 2 of them were closed at once
    When one of the others goes
    Then one more may connect
