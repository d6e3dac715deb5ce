Feature: Routers exchange frames over authenticated connections
  Frames are bounded in size and ordered per peer, and a peer with another fleet key
  is refused.

  Scenario: payloads and chunks arrive in the order in which they were sent
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends 3 chunks of stream "s1" and then the end of attempt "s1" with a body of 1000 bytes
    Then the second receives the chunks in order and then the payload with its body
    And both have reported the other as connected
    And the first has counted as many sent bytes of "AttemptEnded" as the second has received

  Scenario: a reply is sent over the same connection
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a cancellation of attempt "a1" and the second replies
    Then each network has 1 link

  Scenario: a peer with another fleet key is refused and receives no payload
    Given two peer networks whose fleet keys differ
    When the first sends a cancellation of attempt "a1" to the second
    Then the payload for the second is reported to the first as not sent
    And a log line "peer_refused" contains "its fleet key differs"
    And the second has received no payload

  Scenario: a peer with another protocol version is refused
    Given two peer networks with the fleet key "k1" on loopback
    And the second uses another protocol version
    When the first sends a cancellation of attempt "a1" to the second
    Then the payload for the second is reported to the first as not sent
    And a log line "peer_refused" contains "protocol"

  Scenario: a payload for an old incarnation is refused before it is sent
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a cancellation of attempt "a1" for incarnation "old" of the second
    Then the payload for the second is reported to the first as not sent
    And the second has received no payload

  Scenario: an address without a listener is reported as unreachable
    Given two peer networks with the fleet key "k1" on loopback
    And the second has stopped
    When the first sends a cancellation of attempt "a1" to the second
    Then the payload for the second is reported to the first as not sent

  Scenario: repeated attempts to reach an address without a listener are logged once a minute
    Given two peer networks with the fleet key "k1" on loopback
    And the second has stopped
    When the first sends 5 cancellations to the second, each after the previous one failed
    Then 5 payloads were reported as not sent and 1 log line "peer_unreachable" was written

  Scenario: a message above the size limit is not queued
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a body above the message limit
    Then the call returns that nothing was queued

  Scenario: a full queue blocks the sender of chunks until the peer reads again
    Given two peer networks with the fleet key "k1" on loopback
    And the second accepts no chunks
    When the first sends chunks until it is blocked
    Then some but not all of the chunks were queued
    When the second accepts chunks again
    Then all chunks arrive in order

  Scenario: a silent connection is aborted and replaced
    Given two peer networks with the fleet key "k1" on loopback behind a relay
    And the first has sent a payload through the relay
    When the relay stops forwarding but stays connected and the silence timeout passes
    Then the second is reported to the first as lost
    When the relay forwards the bytes of new connections
    And the first sends another payload through the relay
    Then the second receives it over a new connection

  Scenario: heartbeats keep an otherwise unused connection open
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When 20 heartbeat intervals pass on the clock
    Then the connection is still open and heartbeats were counted

  Scenario: an idle connection is closed without being reported as lost
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the idle timeout passes on the clock
    Then both networks have no link and no peer was reported as lost

  Scenario: a process that was paused does not report its peers as lost
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the first process is paused for longer than the silence timeout
    Then the connection is still open

  Scenario: a stopping process is reported as lost after its last payload
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the second sends a last payload and stops
    Then the first receives that payload before the second is reported as lost

  Scenario: the number of connections is bounded and an idle one is closed for a new one
    Given a peer network with a limit of 2 links and 3 others
    When each of the others sends it a payload, one after another
    Then it receives all payloads and never has more than 3 links

  Scenario: chunks that are queued together are joined into one frame in order
    Given chunks of 3 streams that were queued together
    When they are joined into one frame and decoded
    Then the batch contains the same chunks in the same order
    And a batch that contains a payload is refused
