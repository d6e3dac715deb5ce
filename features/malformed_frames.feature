Feature: Malformed frames raise typed errors only
  Inputs are generated from fixed seeds, so that each run tests the same inputs.

  Scenario: frames between routers
    When 4000 malformed frames are decoded
    Then each gave a frame or a peer frame error, and a frame is encoded and decoded to itself

  Scenario: connections between routers
    Given a peer network that accepts connections
    When 250 clients send malformed data to it
    Then none caused an unhandled error, and it still receives a valid peer's payload

  Scenario Outline: a malformed frame of a greeted peer closes the link with a typed error
    Given a peer network that accepts connections
    When a greeted peer sends <what>
    Then the log has "peer_lost" with the code "<code>" and the link is closed

    Examples:
      | what                    | code                   |
      | a text message          | peer_frame             |
      | a truncated frame       | peer_frame             |
      | a frame of unknown kind | peer_frame             |
      | a second greeting       | peer_frame             |
      | a tagged value          | peer_frame             |
      | a kernel-only message   | peer_frame             |
      | a frame above the limit | peer_message_too_large |

  Scenario: a connection without a complete greeting is closed
    Given a peer network that accepts connections
    When a client connects and sends nothing for the greeting timeout
    Then its connection is closed and the log has "the handshake timed out"
