Feature: Prompt prefixes that an engine has are copied and not processed again

  Scenario: a prefix that another router's request left on an engine is copied from this engine
    Given two routers in front of 12 engines
    When one router sends a dossier to an engine and publishes it to the other
    Then the other router selects this engine as the source of a copy
    And an engine in the data centre of the target is the preferred source

  Scenario: prefix reports are sent once over each link and not back
    Given three routers in a chain, of which the middle one relays reports
    When the first one sends the same dossier to an engine 40 times in 4 s
    Then the last one has received one report of it and the first one none
    When 20 s later the first one sends the dossier again
    Then the last one has received two reports of it

  Scenario: only a few engines are published for a part that many engines have
    Given two routers in front of 12 engines
    When one router sends a dossier to all 12 engines
    Then it publishes 3 of them

  Scenario: an engine that has a dossier also has the part before it
    Given two routers in front of 12 engines
    When one router sends other dossiers to 11 engines, one to the last, and publishes them to the other
    Then the other router selects the last engine as the source of a copy

  Scenario: a dossier stays with the engine that has it up to its load bound
    Given 10 engines and 200 dossiers that were each sent to an engine
    When 3 engines join and each dossier is requested again
    Then each dossier is sent to the engine that has it
    When the engine of a dossier has 9 requests more than the others
    Then the dossier is sent to another engine, and to this one again when an engine joins

  Scenario: a router that connects late gets a bounded number of recent reports
    Given a router that has recorded 5000 prefixes
    Then a new link gets the latest 512 of them

  Scenario: engines join and leave behind 77 routers and few prefixes are processed again
    Given 77 routers that exchange prefix reports every 200 ms
    When 190 requests per second arrive for 30 s, while 9 of 30 engines leave and 14 join
    Then the fleet reuses at least 95 of 100 shared tokens that it could

  Scenario: the same load without prefix reports processes more prefixes again
    Given 77 routers that exchange no prefix reports
    When 190 requests per second arrive for 30 s, while 9 of 30 engines leave and 14 join
    Then the fleet reuses less than 95 of 100 shared tokens that it could
