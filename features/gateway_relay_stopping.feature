Feature: No request goes through a router that is stopping
  A router without a path to the servers sends its callers' requests through a peer. A
  peer that stops ends what it has left before its process exits, and the caller's router
  cannot send a stream that may not be resumed to another one.

  Background:
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 4 gateways that know each other
    And the first gateway has no path to the servers

  Scenario: streams that outlast a peer's grace period are not cut
    Given engines send the 10 events of a stream within 2200 ms
    When the second gateway stops with a chat of its own
    And 500 ms later 16 callers send a chat to the first
    Then each of them gets the whole stream

  Scenario: a peer that stops refuses no request that another one would serve
    Given engines send the 10 events of a stream within 2200 ms
    When the second gateway stops with a chat of its own
    And 1500 ms later 16 callers send a read to the first
    Then each of them gets an answer with status 200

  Scenario: a router that finds its path again while it stops does not offer it
    When the first gateway stops and finds its path again
    Then its peers do not send requests through it
