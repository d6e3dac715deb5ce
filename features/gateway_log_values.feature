Feature: A log line never ends what it tells of
  Scenario Outline: a value that usual JSON has no place for is logged all the same
    # Guards against a process that ends, or skips changes, because of one log line.
    When a line with <value> is logged
    Then one line is written, with its event and <content>

    Examples:
      | value                         | content        |
      | a number of 100 digits        | its value      |
      | a number of 5000 digits       | a reason       |
      | a text that is not Unicode    | its value      |
      | numbers as names              | its value      |
      | pairs as names                | its value      |
      | an object without a text      | a reason       |
      | lists in each other 5000 deep | a reason       |
      | infinity                      | its value      |
