Feature: Malformed frames give typed errors and nothing else
  Inputs are generated from fixed seeds, so that each run sees the same ones.

  Scenario: frames between routers
    When 4000 malformed frames are decoded
    Then each gave a frame or a peer frame error, and a frame is encoded and decoded to itself

  Scenario: connections between routers
    Given a peer network that strangers connect to
    When 250 malformed conversations are held with it
    Then each ended without an unhandled error, and a proper peer still gets through

  Scenario Outline: what is wrong with a greeted peer's frame is said by a typed error
    Given a peer network that strangers connect to
    When a greeted peer sends <what>
    Then the log says "peer_lost" with the code "<code>" and the link is gone

    Examples:
      | what                    | code                   |
      | a text message          | peer_frame             |
      | a frame that is cut     | peer_frame             |
      | a frame of a new kind   | peer_frame             |
      | a second greeting       | peer_frame             |
      | a tagged value          | peer_frame             |
      | a kernel-only message   | peer_frame             |
      | a frame above the limit | peer_message_too_large |

  Scenario: a greeting that is not finished is cut off
    Given a peer network that strangers connect to
    When a stranger opens a connection and says nothing for the greeting timeout
    Then its connection is closed and the log says "the greeting is slow"
