@alone
Feature: Callers outside the limits end no router
  One router process, whose settings state a small host, and callers that keep to no
  limit. No step depends on how fast the machine is.

  Background:
    Given a platform whose servers answer with 200 KB
    And a router process with 72 MB of memory and 264 descriptors

  Scenario: bodies that are announced far over the limit
    When 45 callers announce 4 GB and send 2 MB each
    Then the router has stayed within its host's limits
    And it answers an ordinary request

  Scenario: chunked bodies in large chunks that stop short of their end
    When 45 callers send 983 KB each in chunks of 65536 bytes and no end
    Then the router has stayed within its host's limits
    And it answers an ordinary request

  Scenario: chunked bodies in very small chunks that stop short of their end
    When 45 callers send 60 KB each in chunks of 1 bytes and no end
    Then the router has stayed within its host's limits
    And it answers an ordinary request

  Scenario: requests sent ahead whose answers are not read
    When 6 callers send 300 requests ahead and read no answer
    Then the router has stayed within its host's limits
    And it answers an ordinary request

  Scenario: more connections than the host has descriptors
    When 150 callers open connections and send nothing
    Then the router has stayed within its host's limits
    And it answers an ordinary request

  Scenario: a request at the limits is served in calm
    When a caller sends a body of 1000 KB
    Then it is served, and the router has stayed within its host's limits
    When a caller sends a body of 1000 KB in chunks of 500 bytes
    Then it is served, and the router has stayed within its host's limits
