Feature: A gateway's memory for answers that are not complete is bounded
  Answers other than streams are buffered until they are complete.

  Scenario: all buffers together stay within the process's limit
    When 40 answers without end are buffered at the same time
    Then all buffers together have never held more than 32 MB
    And each of the answers was refused at the latest after 8 MB

  Scenario: an answer without end does not cost a sound one its buffer
    When 10 answers without end are buffered beside sound answers of 1 MB
    Then no sound answer was refused

  Scenario: the buffer of an abandoned attempt no longer counts
    When 100 answers of 4 MB are abandoned one after another
    Then the last of them was buffered completely

  Scenario: a caller who reads nothing of an endless stream is disconnected
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And both engines send numbered events without end
    When a caller sends a chat and reads nothing for 1500 ms
    Then at most 1.5 MB were left unsent for it
    And the server's run is dropped within 500 ms
