Feature: A request is explained from the logs of several routers
  The explanation is for readers without technical background. Every step has its time.

  Scenario: a chat that waited for a cold engine and was completed
    Given the logs of two routers on a chat that waited for a cold engine
    When "request-7" is explained
    Then the explanation's exit status is 0
    And its sentences come in this order:
      | words |
      | (before) engine-2 had just started and had only its cold-start capacity (0 of at most 2 |
      | Router 10.0.0.1:7000 received the request from team 'licensing' for service 'dossier-review' |
      | Router 10.0.0.1:7000 chose engine-2 (attempt 2), the first choice for dossier 'dossier-1'; its owner is router 10.0.0.2:7000. |
      | Router 10.0.0.2:7000 put it into the queue of engine-2 (2 of at most 2 concurrent requests), because engine-2 has just started |
      | Router 10.0.0.2:7000, the owner of engine-2, sent it there after 1.5 s in its queue |
      | The first part of the answer arrived, 1.9 s later |
      | The request ended after 2.4 s: completed |
      | Outcome: completed, after 2.4 s. This means: the complete answer was received. |

  Scenario: a refused chat is traced to the text version at the root
    Given the log of a chat that was refused because data centre "bole" is out of service
    When "request-8" is explained
    Then its sentences come in this order:
      | words |
      | (before) Operators took data centre 'bole' out of service with text version 812 |
      | Outcome: not run |
      | no backend server has run the request |
      | 1. No backend server of 'dossier-review' is in service |
      | 2. Data centre 'bole' was taken out by text version 812 |
    And the outage of data centre "bole" is listed once

  Scenario: a request that the logs do not contain
    Given the log of a chat that was refused because data centre "bole" is out of service
    When "request-99" is explained
    Then the explanation's exit status is 1
    And the error is one line with the code "request_not_logged"

  Scenario: an ID that is only a prefix of a logged one is not found
    Given the log of a chat that was refused because data centre "bole" is out of service
    When "request" is explained
    Then the explanation's exit status is 1

  Scenario: a log that cannot be read
    When "request-1" is explained from a file that does not exist
    Then the explanation's exit status is 2
    And the error is one line with the code "log_unreadable"

  Scenario: damaged lines are skipped and listed
    Given the log of a chat that was refused because data centre "bole" is out of service
    And damaged lines in that log
    When "request-8" is explained
    Then the explanation's exit status is 0
    And its sentences come in this order:
      | words |
      | Outcome: not run |
      | 3 damaged lines skipped |

  Scenario: a request that two routers have sent to backend servers
    Given the logs of a router that sent 1 of 2 servers a request, and of a peer that sent it to 2
    When "request-9" is explained
    Then its sentences come in this order:
      | words |
      | It was sent to 3 of at most 2 backend servers. |
