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
