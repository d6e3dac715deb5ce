Feature: A status that promises that a request has not run keeps that promise
  Callers send an action again after 408, 421, 429 and 503. A server that has run one may
  fail with such a status; only "not executed" states that it has not run it.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"

  # Guards against actions that callers repeat although they have run.
  Scenario Outline: an action that ran and failed is not reported as not run
    Given a gateway that is ready
    And all servers run requests and answer <status> <headers>
    When a caller sends an issuance
    Then the status is <told> and the answer names the request
    And the answer has no seal unless its status is the server's
    And the request has run 1 times
    And the log names the server's status <status>

    Examples:
      | status | headers                     | told |
      | 503    | with a seal                 | 502  |
      | 429    | with a seal                 | 502  |
      | 408    | with a seal                 | 502  |
      | 421    | with a seal                 | 502  |
      | 503    | with a seal and Retry-After | 502  |
      | 503    | without a seal              | 502  |
      | 429    | without a seal              | 502  |
      | 408    | without a seal              | 502  |
      | 500    | with a seal                 | 500  |
      | 502    | with a seal                 | 502  |
      | 504    | with a seal                 | 504  |
      | 404    | with a seal                 | 404  |

  # Guards against streams that callers begin again although their run has begun.
  Scenario Outline: a stream that may not be resumed and fails is not reported as not run
    Given a gateway that is ready
    And all servers run requests and answer <status> with a seal
    When a caller sends a chat
    Then the status is 502 and the answer names the request
    And the answer has no seal unless its status is the server's
    And the request has run 1 times

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |
      | 421    |

  # Guards against a translation of statuses that cost callers nothing.
  Scenario Outline: a read keeps the status of its servers
    Given a gateway that is ready
    And all servers run requests and answer <status> with a seal
    When a caller sends a read
    Then the status is <status>

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |

  # Guards against a time to retry beside a status that promises nothing.
  Scenario: no Retry-After of a server that has run an action reaches its caller
    Given a gateway that is ready
    And all servers run requests and answer 503 with a seal and Retry-After
    When a caller sends an issuance
    Then the answer has no Retry-After

  # Guards against rejections that would be taken for runs.
  Scenario Outline: a rejection still promises that the action has not run
    Given a gateway that is ready
    And both app servers misbehave by <fault>
    When a caller sends an issuance
    Then the status is 503
    And the request has run 0 times

    Examples:
      | fault |
      | full  |
      | moved |

  # Guards against the same promise from a router that relays for another one.
  Scenario Outline: an action that ran behind a peer is not reported as not run
    Given 3 gateways that know each other
    And the first gateway has no path to the servers
    And all servers run requests and answer <status> <headers>
    When 12 callers send an issuance to the first gateway
    Then each of them has run once and got status 502

    Examples:
      | status | headers        |
      | 503    | with a seal    |
      | 429    | with a seal    |
      | 408    | with a seal    |
      | 421    | with a seal    |
      | 503    | without a seal |

  # Guards against promises that routers of the former build pass on.
  Scenario Outline: a sealed status that a peer of the former build passes on counts as run
    When a former peer passes on the answer <status> of a server
    Then it counts as run, and the answer to <request> is <told>

    Examples:
      | status | request    | told      |
      | 503    | an action  | a 502     |
      | 429    | an action  | a 502     |
      | 408    | an action  | a 502     |
      | 421    | an action  | a 502     |
      | 500    | an action  | forwarded |
      | 503    | a read     | forwarded |
