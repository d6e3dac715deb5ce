Feature: Routers talk over connections that they have greeted on
  Frames are bounded, ordered per peer, and a peer with another key is refused.

  Scenario: payloads and chunks arrive in the order in which they were sent
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends 3 chunks of stream "s1" and then the end of attempt "s1" with a body of 1000 bytes
    Then the second gets the chunks in order and then the payload with its body
    And both have noted the other as connected
    And the first has counted as many bytes of "AttemptEnded" sent as the second received

  Scenario: the answer goes back over the same connection
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a cancel of attempt "a1" and the second answers
    Then each network has 1 link

  Scenario: a peer with another fleet key is refused and gets nothing
    Given two peer networks whose fleet keys differ
    When the first sends a cancel of attempt "a1" to the second
    Then the first hears that the payload for the second was not sent
    And a log line "peer_refused" says "its fleet key differs"
    And the second has received no payload

  Scenario: a peer with another protocol version is refused
    Given two peer networks with the fleet key "k1" on loopback
    And the second speaks another protocol version
    When the first sends a cancel of attempt "a1" to the second
    Then the first hears that the payload for the second was not sent
    And a log line "peer_refused" says "protocol"

  Scenario: a payload for an old incarnation is refused before it is sent
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a cancel of attempt "a1" for incarnation "old" of the second
    Then the first hears that the payload for the second was not sent
    And the second has received no payload

  Scenario: an address where nobody listens is reported as unreachable
    Given two peer networks with the fleet key "k1" on loopback
    And the second has stopped
    When the first sends a cancel of attempt "a1" to the second
    Then the first hears that the payload for the second was not sent

  Scenario: many tries of an address where nobody listens give one log line a minute
    Given two peer networks with the fleet key "k1" on loopback
    And the second has stopped
    When the first sends 5 cancels to the second, each after the last one failed
    Then 5 payloads were reported as not sent and 1 log line "peer_unreachable" was written

  Scenario: a message above the size limit is not queued
    Given two peer networks with the fleet key "k1" on loopback
    When the first sends a body above the message limit
    Then it is told that nothing was queued

  Scenario: a full queue holds back chunks until the peer reads again
    Given two peer networks with the fleet key "k1" on loopback
    And the second does not take chunks for now
    When the first sends chunks until it has to wait
    Then fewer bytes than the bounds of queue and sockets were taken
    When the second takes chunks again
    Then all chunks arrive in order

  Scenario: a connection that went silent is given up and replaced
    Given two peer networks with the fleet key "k1" on loopback behind a relay
    And the first has sent a payload through the relay
    When the relay goes silent without closing and the silence timeout passes
    Then the first hears that the second is lost
    When the relay works again for new connections
    And the first sends another payload through the relay
    Then the second gets it over a new connection

  Scenario: heartbeats keep a quiet connection
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When 20 heartbeat intervals pass on the clock
    Then the connection still stands and heartbeats were counted

  Scenario: an idle connection is closed without being reported as lost
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the idle timeout passes on the clock
    Then both networks have no link and no peer was reported as lost

  Scenario: a process that was paused does not blame its peers
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the first process is paused for longer than the silence timeout
    Then the connection still stands

  Scenario: a stopping process is reported as lost after its last payload
    Given two peer networks with the fleet key "k1" on loopback
    And the first has sent a payload to the second
    When the second sends a last payload and stops
    Then the first gets that payload and then hears that the second is lost

  Scenario: connections are bounded and an idle one makes room
    Given a peer network that may have 2 links and 3 others
    When each of the others sends it a payload, one after the other
    Then it gets all payloads and never holds more than 3 links

  Scenario: chunks that are queued together arrive in order and count one by one
    Given chunks of 3 streams that were queued together
    When they are joined to one frame and read again
    Then the batch holds the same chunks in the same order
    And a batch that holds a payload is refused
