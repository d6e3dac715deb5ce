Feature: Examples of the documentation
  The examples work with the current code.

  Scenario: the example placement policy registers itself and prefers the local data centre
    Given the example plug-in is imported
    Then the registry builds a "placement" named "nearest"
    And it always ranks 3 local servers before 2 remote ones

  Scenario Outline: the example files are valid
    Then "damaskrill check" accepts "<file>"

    Examples:
      | file |
      | examples/abay.ini |
      | examples/abzugsrein.ini |
      | examples/settings.ini |
      | examples/quick_start/text.ini |
      | examples/quick_start/router-1.ini |
      | examples/quick_start/router-2.ini |

  Scenario: links between the pages resolve
    Then every relative link of the documentation points to an existing file
