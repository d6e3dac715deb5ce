Feature: An answer is complete only if its server has taken the whole request
  A server may answer an upload before it has read it. An answer without a length ends with
  its connection, which also ends when the server gives up in the middle of the upload.

  Background:
    Given a platform with app servers that answer uploads of their own way
    And a gateway that is ready

  # Guards against a part of an answer that its caller takes for the whole.
  Scenario Outline: an answer that ends in the middle of the upload is not complete
    Given the app servers answer at once, send half of the body, and <end>
    When a caller uploads <kb> kB as an <request>
    Then the answer is a failure or ends early
    And the request has run at most <runs> times

    Examples:
      | end                           | kb   | request | runs |
      | end the connection in order   | 1000 | action  | 1    |
      | end the connection in order   | 4000 | action  | 1    |
      | end in order and reset it     | 150  | action  | 1    |
      | end in order and reset it     | 1000 | action  | 1    |
      | end in order and reset it     | 4000 | action  | 1    |
      | end in order and reset it     | 150  | read    | 2    |
      | end in order and reset it     | 1000 | read    | 2    |
      | end in order and reset it     | 4000 | read    | 2    |
      | end in order and reset it     | 1000 | stream  | 1    |
      | reset it                      | 1000 | action  | 1    |
      | reset it                      | 1000 | read    | 2    |

  # Guards against sound answers that would be taken for broken ones.
  Scenario Outline: an answer without a length to an upload that was taken is complete
    Given the app servers read the upload, send the body, and end the connection in order
    When a caller uploads <kb> kB as an <request>
    Then the answer is complete, with the whole body

    Examples:
      | kb   | request |
      | 8    | action  |
      | 150  | action  |
      | 4000 | action  |
      | 4000 | read    |

  Scenario: an answer with a length is complete although the upload was not taken
    Given the app servers answer at once, with a length, and read on
    When a caller uploads 1000 kB as an action
    Then the answer is complete, with the whole body

  Scenario: a read whose answer ends too early is answered by another server
    Given the app servers answer at once, send half of the body, and end in order and reset it
    And a sound app server
    When a caller uploads 1000 kB as a read until the sound one was needed
    Then the answer is complete, with the whole body

  # Guards against statuses that HTTP does not know.
  Scenario Outline: an answer whose status is none is not passed on
    Given the app servers read the upload and answer with status <status>
    When a caller uploads 8 kB as an <request>
    Then the caller gets status 502 without a seal

    Examples:
      | status | request |
      | 000    | action  |
      | 001    | action  |
      | 099    | action  |
      | 600    | action  |
      | 700    | action  |
      | 999    | action  |
      | 1000   | action  |
      | 20     | action  |
      | 2x0    | action  |
      | 600    | read    |
      | 999    | stream  |
