Feature: The reference pages match the code
  They are generated from the same declarations that validation uses.

  Scenario Outline: the committed page is the generated one
    When the reference pages are rendered
    Then docs/reference/<page> equals the rendered one

    Examples:
      | page        |
      | text.md     |
      | settings.md |
      | errors.md   |

  Scenario: every field of a section class has a documented key
    Then each field of the classes of text and settings has a declared key

  Scenario: every fault and cause has a sentence
    Then each fault code and each cause code has a sentence
