Feature: Malformed files give typed errors and nothing else
  Inputs are generated from fixed seeds, so that each run sees the same ones.

  Scenario: settings
    When 3000 malformed settings files are read
    Then each gave settings or faults with a line, a code and a sentence on one line

  Scenario: texts
    When 3000 malformed texts are parsed
    Then each gave a text or faults with a line, a code and a sentence on one line

  Scenario: changes of a text by section
    When 1000 malformed changes by section are applied
    Then each gave a text or faults with a line, a code and a sentence on one line
    And no change altered the text that it started from
