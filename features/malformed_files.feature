Feature: Malformed files raise typed errors only
  Inputs are generated from fixed seeds, so that each run tests the same inputs.

  Scenario: settings
    When 3000 malformed settings files are read
    Then each resulted in settings or faults with a line, a code and a sentence on one line

  Scenario: texts
    When 3000 malformed texts are parsed
    Then each resulted in a text or faults with a line, a code and a sentence on one line

  Scenario: updates of a text by section
    When 1000 malformed updates by section are applied
    Then each resulted in a text or faults with a line, a code and a sentence on one line
    And no update modified the original text
