Feature: load patterns are played against emulated engines in virtual time

  Scenario: an engine reads a prefix once, copies what another has and drops the oldest
    Given two emulated engines that keep 5000 tokens
    When the first one serves a prompt with shared parts of 300 and 2000 tokens twice
    Then it reads 2300 tokens and then none
    When the second one serves it with the first as the source of a copy
    Then it copies 2300 tokens and reads none
    When the first one serves two other prompts of this size
    Then the first prompt is read again

  Scenario: requests beyond an engine's slots wait for one
    Given an emulated engine with 2 slots
    When it serves 3 requests at the same time
    Then the third one begins when the first one has ended

  Scenario: the same seed gives the same figures, and the requests do not depend on a policy
    When a short day is played twice as product and once as random with seed 3
    Then both figures of product are the same
    And all three have the same requests

  Scenario Outline: a file that cannot be used is refused with its fault
    Given an experiment file with <content>
    When the command experiment is run on it
    Then it ends with 2 and names <fault>

    Examples:
      | content                           | fault                      |
      | nothing                           | no section [requests NAME] |
      | a section that is not known       | 'fleets' is not known      |
      | a value that is not known         | 'speed' in [engines]       |
      | a rate that is no number          | could not convert          |
      | a number below 0                  | must not be below 0        |
      | too many requests                 | from 1 to 1000000          |

  Scenario: the command prints a table and JSON
    When the command experiment plays a short day for "product,random"
    Then the table has a column for each
    And as JSON it has the same figures

  Scenario: returning dossiers while engines leave and come
    When the returning dossiers are played for 10 s by the product and two baselines
    Then the product reuses at least 95 of 100 tokens that some engine had
    And neither baseline reads fewer tokens than the product
    And no more than 3 of 100 of its requests meet an engine above the limit

  Scenario: a dossier that 28 of 100 reviews ask for
    When the hot dossier is played for 8 s by the product
    Then no more than 3 of 100 of its requests meet an engine above the limit
