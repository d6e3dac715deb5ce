Feature: Streams of two versions go on after all routers were killed, if engines still show
  which version began them
  Background:
    Given a platform whose engines with a prompt cache state these versions
      | engine | version |
      | e-1    | v1      |
      | e-2    | v1      |
      | e-3    | v1.1    |
      | e-4    | v1.1    |
    And 4 gateways that know each other

  Scenario: both versions go on serving
    When 64 callers break checks with prompts of their own off after 2 events
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And at least 32 of these streams are complete
    And each reply has come within 3000 ms
    And each engine has listed its parts at most 2 times for each router
    And each stream that goes on has a line with its evidence "cached_parts"

  Scenario: streams of one version go on if an engine of that version has crashed
    When 64 callers break checks with prompts of their own off after 2 events
    And engine "e-3" crashes
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And at least 90 % of the streams that engine "e-4" began are complete
    And none of the streams that engine "e-1" began has run again

  Scenario: streams of engines whose memory is full go on beside others that are not
    When 64 callers break checks with prompts of their own off after 2 events
    And engines "e-1" and "e-2" have filled their memory with other parts
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And at least 90 % of the streams that engine "e-1" began are complete
    And at least 90 % of the streams that engine "e-2" began are complete

  Scenario: an engine of each version does not answer
    When 32 callers break checks with prompts of their own off after 2 events
    And engine "e-1" does not list its parts
    And engine "e-3" does not list its parts
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And each reply has come within 3000 ms

  Scenario Outline: what an engine of the other version may have held is not known
    # Engines of v1 hold the last parts of all streams, as former requests of the same
    # sessions were sent there.
    When 32 callers break checks of sessions off that engines "e-1" and "e-2" have read
    And <trouble>
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions

    Examples:
      | trouble                                                          |
      | nothing else happens                                             |
      | engine "e-3" crashes                                             |
      | engine "e-3" starts again                                        |
      | engine "e-3" starts again and its entry has not changed yet      |
      | engine "e-3" does not list its parts                             |
      | engines "e-3" and "e-4" have evicted their parts for other ones  |
      | engine "e-3" leaves and is gone                                  |
      | engine "e-3" is gone and the store discards its history          |
      | engines "e-3" and "e-4" are cold                                 |

  Scenario Outline: an engine of the other version lists its parts wrongly
    When 32 callers break checks of sessions off that engines "e-1" and "e-2" have read
    And engine "e-3" lists its parts as <list>
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And each reply has come within 3000 ms

    Examples:
      | list                                                   |
      | nothing                                                |
      | []                                                     |
      | {"born":1000,"epoch":1,"next":1}                       |
      | {"born":1000,"epoch":1,"next":1,"held":{}}             |
      | {"born":1000,"epoch":1,"next":1,"held":[7]}            |
      | {"born":1000,"epoch":1,"next":1,"held":[["",7,1,"m"]]} |
      | {"born":1000,"epoch":1,"next":1,"held":[["","a"]]}     |
      | {"born":"1000","epoch":1,"next":1,"held":[]}           |
      | {"epoch":1,"next":1,"held":[]}                         |
      | {"born":1000,"epoch":1,"held":[["","a",-1,"m"]]}       |
      | an endless body                                        |
      | an endless head                                        |
      | 2 MB                                                   |

  Scenario: callers that come again and again share the readings
    When 4 callers break checks with prompts of their own off after 2 events
    And all routers are killed at once and are back after 500 ms
    And callers resume unknown checks at all routers every 50 ms for 2500 ms
    Then each reply has come within 3000 ms
    And each engine has listed its parts at most 5 times for each router

  Scenario: a reading that began before a stream was taken up does not count for it
    When a router reads an engine's parts, and again 100 ms later with a part more
    Then the second reading has that part, and came at least 900 ms after the first

  Scenario Outline: engines of large fleets are not asked
    When one of <n_routers> routers may ask <n_engines> engines
    Then it asks <n_asked> of them

    Examples:
      | n_routers | n_engines | n_asked |
      | 12        | 16        | 16      |
      | 13        | 2         | 0       |
      | 7         | 17        | 0       |
      | 195       | 62        | 0       |

  Scenario Outline: engines show where a stream began only if it began nowhere else
    # The last part of its prompt is "p"; an engine holds up to 100 tokens.
    When engines at which a stream may have begun state <contents>
    Then the finding on the stream is "<finding>" with version "<version>"

    Examples:
      | contents                                 | finding                | version |
      | a=v1:p b=v2:q                            | found                  | v1      |
      | a=v1:p b=v2:                             | found                  | v1      |
      | a=v1:p b=v1:q c=v2:q d=v2:q              | found                  | v1      |
      | a=v1:p b=v1:gone c=v2:q                  | found                  | v1      |
      | a=v1:q b=v1:gone c=v2:q                  | not_held               | none    |
      | a=v1:p b=v2:p                            | held_by_several        | none    |
      | a=v1:p b=v2:q c=v2:gone                  | other_does_not_answer  | none    |
      | a=v1:p b=v2:q c=v3:gone                  | other_does_not_answer  | none    |
      | a=v1:p b=v2:q c=v2:restarted             | other_does_not_answer  | none    |
      | a=v1:restarted b=v2:q                    | other_does_not_answer  | none    |
      | a=v1:p b=v2:q*50                         | found                  | v1      |
      | a=v1:p b=v2:q*51                         | other_may_have_evicted | none    |
      | a=v1:p*99 b=v2:q                         | found                  | v1      |
      | a=v1:q b=v2:q                            | not_held               | none    |
      | a=v1:p b=v1:p                            | sources_unknown        | none    |
      | a=v1:p a=v2:p b=v2:q                     | sources_unknown        | none    |
      | a=v1:gone b=v2:gone                      | other_does_not_answer  | none    |

  Scenario: nothing follows if the memory of the engines is not known
    When engines of unknown memory at which a stream may have begun state a=v1:p b=v2:q
    Then the finding on the stream is "sources_unknown" with version "none"

  Scenario: an engine is remembered for as long as its streams may be taken up
    When an engine of version "v2" was listed beside one of "v1" until 9000 ms ago
    Then a stream may have begun at versions "v1 v2" within 10000 ms
    And a stream may have begun at versions "v1" within 8000 ms

  Scenario: streams that began after the restart need no engine's evidence
    When all routers are killed at once and are back after 500 ms
    And 32 callers break checks with prompts of their own off after 2 events
    And these callers take their checks up at all routers
    Then at least 29 of these streams are complete
    And no engine has listed its parts

  Scenario: streams whose history the store has discarded are refused without a reading
    When 32 callers break checks with prompts of their own off after 2 events
    And the store discards its history, and the operators write a configuration
    And all routers are killed at once and are back after 500 ms
    And these callers take their checks up at all routers
    Then no stream has events of two versions
    And no engine has listed its parts
