Feature: Malformed frames give typed errors and nothing else
  Inputs are generated from fixed seeds, so that each run sees the same ones.

  Scenario: frames between routers
    When 4000 malformed frames are decoded
    Then each gave a frame or a peer frame error, and a frame is encoded and decoded to itself

  Scenario: connections between routers
    Given a peer network that strangers connect to
    When 250 malformed conversations are held with it
    Then each ended without an unhandled error, and a proper peer still gets through
