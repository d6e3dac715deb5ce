Feature: prompt prefixes that some engine has are copied, not read again

  Scenario: a prefix that another router's request has read is copied from there
    Given two routers before 12 engines
    When one router sends a dossier to an engine and tells the other
    Then the other router names this engine as the source of a copy
    And a copy from an engine in the data centre of the target goes first

  Scenario: news of prefixes go once over each link and not back
    Given three routers in a row, of which the middle one passes news on
    When the first one sends the same dossier to an engine 40 times in 4 s
    Then the last one has heard of it once and the first one nothing
    When 20 s later the first one sends the dossier again
    Then the last one has heard of it twice

  Scenario: a part that many engines have is told of a few only
    Given two routers before 12 engines
    When one router sends a dossier to all 12 engines
    Then it tells of 3 of them

  Scenario: an engine that has a dossier also has the part before it
    Given two routers before 12 engines
    When one router sends other dossiers to 11 engines, one to the last, and tells the other
    Then the other router names the last engine as the source of a copy

  Scenario: a dossier stays with the engine that has it until that has too much
    Given 10 engines and 200 dossiers that each went to an engine
    When 3 engines come and each dossier is asked for again
    Then each dossier meets the engine that has it
    When the engine of a dossier holds 9 requests more than the others
    Then the dossier meets another engine, and this one again when there are two

  Scenario: a router that links late gets what is fresh, in bounded size
    Given a router that has heard of 5000 prefixes
    Then a new link gets the latest 512 of them

  Scenario: engines come and go behind 77 routers and little is read again
    Given 77 routers that tell each other each 200 ms which prefixes engines have
    When 190 requests a second come for 30 s, while 9 of 30 engines leave and 14 come
    Then the fleet reuses at least 95 of 100 shared tokens that it could

  Scenario: the same load without the news reads more again
    Given 77 routers that tell each other nothing of prefixes
    When 190 requests a second come for 30 s, while 9 of 30 engines leave and 14 come
    Then the fleet reuses less than 95 of 100 shared tokens that it could
