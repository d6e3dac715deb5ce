Feature: A held attempt has the bounds of any other one
  What a held attempt receives is kept until another attempt has ended.

  Scenario Outline: what a held attempt keeps is bounded
    When a held attempt receives <events> without end
    Then it is refused, and it has kept at most <n_bytes> bytes

    Examples:
      | events          | n_bytes |
      | comments        | 200000  |
      | numbered events | 8000000 |

  Scenario Outline: a held attempt ends at a head that makes its body useless
    When a held attempt receives the head of an answer <defect>
    Then it has ended with a bad answer, and is neither accepted nor revived

    Examples:
      | defect                  |
      | without proof of origin |
      | with an encoded body    |
