Feature: Planned work cuts no request, and broken streams are joined without a fault
  Seven or nine router processes with 8 s of grace before stand-in servers. Callers keep
  their connections in use, also just as routers close idle ones, and take streams up
  again at other routers. What is judged is what callers and servers see. Longer plays
  run by hand with other seeds, see `features/support/piece_play.py`.

  @alone
  Scenario Outline: a short play with a fixed seed
    Given <n> router processes in the play "<play>" with seed <seed>
    When 60 callers send requests for <seconds> s
    Then no rule is broken
    And at least 100 requests came on kept connections

    Examples:
      | play         | seed | n | seconds |
      | broken stops | 6    | 7 | 14      |
      | versions     | 8    | 9 | 12      |

  Scenario Outline: what the plays judge by finds a fault
    Given a request for a <kind> of which <seen>
    Then the judge names <rule>

    Examples:
      | kind    | seen                                                         | rule    |
      | chat    | all pieces arrive                                            | nothing |
      | chat    | the connection ends while its server goes on                 | LOST    |
      | chat    | the connection ends as its server broke off                  | nothing |
      | chat    | the connection ends 7.2 s after SIGTERM, and it was sent before | nothing |
      | chat    | the connection ends 5.0 s after SIGTERM, and it was sent before | LOST    |
      | chat    | the connection ends 7.2 s after SIGTERM, and it was sent 3.2 s after | LOST |
      | chat    | the connection ends just after its router was killed         | nothing |
      | chat    | piece 2 is missing                                           | ORDER   |
      | chat    | piece 2 comes twice                                          | ORDER   |
      | chat    | the end is missing and it looks complete                     | ORDER   |
      | check   | piece 3 is of another version                                | ORDER   |
      | issue   | the body is of another request                               | MIXED   |
      | issue   | it is refused with 503 and has run                           | REFUSED |
      | issue   | two servers have run it                                      | TWICE   |
