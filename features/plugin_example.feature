Feature: The worked examples of the documentation run
  What the pages show is what the code does.

  Scenario: the example's placement policy registers itself and prefers its data centre
    Given the example plug-in is imported
    Then the registry builds a "placement" named "nearest"
    And it ranks 3 near servers before 2 far ones, the same each time

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

  Scenario: links between the pages lead to files
    Then every relative link of the documentation leads to a file
