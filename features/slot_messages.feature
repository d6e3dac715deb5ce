Feature: Messages about slots between routers
  Scenario: malformed messages are refused with a typed error
    When batches with a malformed message about slots are decoded
    Then each is refused with a peer frame error

  Scenario: messages and fields of a later build are ignored
    When a later build sends messages about slots with further fields, and a new kind
    Then the known ones are read as if the others were not there

  Scenario: a malformed batch ends the link, and nothing else
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And 2 gateways that know each other
    When a router sends a malformed batch of messages about slots to the first gateway
    Then the first gateway refuses the frame, and both go on serving

  Scenario: routers that do not say that they schedule are not asked
    When the views of a router have these members
      | address | schedules | suspected | has path |
      | a       | yes       | no        | yes      |
      | b       | no        | no        | yes      |
      | c       | yes       | yes       | yes      |
      | d       | yes       | no        | no       |
    Then over 200 services only itself and "a" are asked
    And the same router is asked by all that have the same view
    And once it stops it is not asked any more
    And one that does not ask for slots does not say so when it stops either
    And no slots are asked for while over a tenth of the routers do not know them
    And entries of the former build say nothing of slots
