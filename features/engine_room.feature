Feature: Engines are chosen by what they hold, how fast they are and what room they have

  Scenario: callers are served in their data centre where an engine there has the part
    Given routers in 4 data centres with 7 engines each
    When 1600 requests for one dossier arrive at routers of all data centres in turn
    Then each data centre serves the last 40 of its requests itself
    And at most 8 engines have read or copied the dossier

  Scenario: parts that are seldom used stay with their one engine
    Given routers in 4 data centres with 7 engines each
    When 5 requests arrive for each of 200 dossiers
    Then in the mean at most 1.2 engines have read or copied a dossier

  Scenario: engines that turned slow get less while a third is slow
    Given routers in 4 data centres with 7 engines each
    When every third engine takes 2.5 times as long and 200 requests for different dossiers run
    Then no slow engine runs more requests than the mean of all

  Scenario: of two engines that hold the dossier the one with less unread prompt is chosen
    Given routers in 4 data centres with 7 engines each
    When a dossier is spread over all engines and one of the own data centre has 9200 tokens to read
    Then of 200 requests that engine gets none, and another data centre none

  Scenario: a prompt that fits beside what runs is not sent where it does not
    Given routers in 4 data centres with 7 engines each
    When the engine of a dossier runs 32 prompts of 9200 tokens of a memory of 300630
    Then a prompt of 9200 tokens goes to another engine, and one of 700 to this one
    When all engines run as many
    Then a prompt of 9200 tokens is sent all the same

  Scenario: room is free again when requests end, whatever their counts were
    Given an engine's room for 300630 tokens
    When requests state -5, 0, 9200 and 10000000000000000 tokens, begin and end in any order
    Then nothing is unread or in memory, and a prompt of 9200 tokens fits

  Scenario Outline: a hint that lies counts within the request's own limit
    Then of a hint of <hint> and a limit of <most> tokens <n> are expected

    Examples:
      | hint             | most | n         |
      | 50               | 80   | 50        |
      | 900              | 80   | 80        |
      | 0                | 80   | 80        |
      | -4               | 80   | 80        |
      | none             | 80   | 80        |
      | none             | 0    | 0         |
      | 99               | 0    | 99        |
      | 9000000000000000 | 0    | 100000000 |

  Scenario Outline: an engine whose memory cannot be read from the configuration is used
    When a configuration states an engine's memory as <stated>
    Then the engine's memory is <tokens> tokens

    Examples:
      | stated | tokens |
      | 300630 | 300630 |
      | null   | 0      |
      | "many" | 0      |
      | -1     | 0      |
      | 1e300  | 0      |
      | true   | 0      |

  Scenario: without stated speeds engines are chosen as before
    Given routers in 4 data centres with 7 engines each
    When 2000 requests are placed by one router whose engines state no speed
    Then they are placed as by the build before

  Scenario: a gateway counts where requests went, and logs when memory is short
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And its engines have memory for 1000 tokens
    And a gateway that is ready
    And all its servers state the load "1,0,8,100"
    When the gateway gets 12 streams and 4 reads whose callers state urgency 0
    Then the gateway has counted 11 choices of engines and logged no short memory
    When the gateway gets a stream with a prompt of 5000 tokens
    Then the stream is served and the gateway has logged a short memory once
