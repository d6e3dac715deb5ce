Feature: Servers per request while faults of servers and cut paths overlap
  Scenario Outline: no request reaches more servers than its route allows, whatever happens
    Given a platform with 7 engines and 7 app servers
    And 4 gateways that know each other
    When requests of all kinds come for 8 s beside faults drawn from seed <seed>, while <condition>
    Then no request has run on more than 2 servers
    And no action or chat has run twice
    And some requests went through peers

    Examples:
      | seed | condition                              |
      | 0    | engines of two versions serve          |
      | 1    | servers state limits                   |
      | 2    | servers say that they are brittle      |
      | 3    | nothing else happens                   |
