Feature: Load patterns run against emulated engines in virtual time

  Scenario: an engine prefills a prefix once, copies cached parts and evicts the oldest
    Given two emulated engines with a prefix cache of 5000 tokens
    When the first one serves a prompt with shared parts of 300 and 2000 tokens twice
    Then it prefills 2300 tokens and then none
    When the second one serves it with the first one as the copy source
    Then it copies 2300 tokens and prefills none
    When the first one serves two other prompts of this size
    Then the first prompt is prefilled again

  Scenario: requests beyond an engine's slots wait for one
    Given an emulated engine with 2 slots
    When it serves 3 requests at the same time
    Then the third one starts when the first one has ended

  Scenario: a seed gives the same metrics each time and the same requests to all policies
    When a short plan is run twice as product and once as random with seed 3
    Then both runs of product have the same metrics
    And all three runs have the same requests

  Scenario Outline: an invalid file is refused with its error
    Given an experiment file with <content>
    When the command experiment is run on it
    Then it exits with status 2 and reports <fault>

    Examples:
      | content                           | fault                      |
      | no section                        | no section [requests NAME] |
      | an unknown section                | unknown section [fleets]   |
      | an unknown field                  | 'speed' in [engines]       |
      | a rate that is not a number       | could not convert          |
      | a number below 0                  | must not be below 0        |
      | too many requests                 | from 1 to 1000000          |

  Scenario: the command prints a table and JSON
    When the command experiment runs a short plan for "product,random"
    Then the table has a column for each policy
    And the JSON output has the same metrics

  Scenario: returning dossiers while engines are added and removed
    When the plan of returning dossiers runs for 10 s with the product and two baselines
    Then the product reuses at least 95 of 100 tokens that some engine had cached
    And neither baseline prefills fewer tokens than the product
    And at most 3 of 100 of its requests are sent to an engine above the limit

  Scenario: a dossier that 28 of 100 reviews request
    When the plan of the hot dossier runs for 8 s with the product
    Then at most 3 of 100 of its requests are sent to an engine above the limit
