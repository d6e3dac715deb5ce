Feature: A gateway ends an attempt as soon as it is known that the bytes are no answer
  A backend server in trouble may send bytes that are no answer, without end.

  Scenario Outline: an action ends as unknown at once, and the server can stop
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And both app servers send <part> without end
    When a caller sends an issuance
    Then the status is 502 within 0 to 1000 ms
    And the request has run 1 times
    And the server's run is dropped within 500 ms

    Examples:
      | part                     |
      | junk                     |
      | slow junk                |
      | a status line            |
      | headers                  |
      | informational heads      |
      | a chunk line             |
      | chunk extensions         |
      | tiny chunks              |
      | trailers                 |
      | a chunked body           |
      | a body without length    |
      | a body of false length   |
      | a slow body without seal |

  Scenario Outline: a read is answered by the other server, and the faulty one is blamed
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And app server "a-1" sends <part> without end
    When 6 callers send a read
    Then all statuses are 200
    And each reply arrived within 1000 ms
    And a failed attempt at "a-1" is logged with cause "broken"

    Examples:
      | part                     |
      | junk                     |
      | slow junk                |
      | a status line            |
      | headers                  |
      | informational heads      |
      | a chunk line             |
      | chunk extensions         |
      | tiny chunks              |
      | trailers                 |
      | a chunked body           |
      | a body without length    |
      | a body of false length   |
      | a slow body without seal |

  Scenario: a resumable stream continues elsewhere when an event does not end
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And engine "e-1" sends an event without end
    When 8 callers send a check each with its own prompt
    Then all streams hold events 1 to 5 once each
    And each reply arrived within 1000 ms

  Scenario Outline: a stream that cannot be resumed is cut at once
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And both engines send <part> without end
    When a caller sends a chat
    Then the status is 200 and the body is not complete
    And the reply arrived within 1500 ms
    And the server's run is dropped within 500 ms

    Examples:
      | part        |
      | an event    |
      | tiny events |

  Scenario Outline: few bytes show that framing without end is no answer
    When a connection to a server receives <part> without end
    Then its exchange fails as malformed after at most <n_bytes> bytes
    And the connection is aborted

    Examples:
      | part                | n_bytes |
      | junk                | 5       |
      | a status line       | 262144  |
      | headers             | 262144  |
      | informational heads | 262144  |
      | a chunk line        | 262144  |
      | chunk extensions    | 262144  |
      | tiny chunks         | 262144  |
      | trailers            | 262144  |

  Scenario: a chatty answer with small chunks and a few informational heads is no fault
    When a connection to a server receives 3 informational heads and 2000 chunks of 8 bytes
    Then its exchange ends as complete with 16000 bytes

  Scenario: an event that never ends costs little processor time and memory
    When an event arrives in pieces of 16 bytes and never ends
    Then it is refused after at most 262144 bytes and 1000 ms of processor time

  Scenario Outline: a call to a store that answers without end fails at once
    Given a platform whose store sends <part> without end
    When the store is called with a time limit of 5000 ms
    Then the call fails within 2000 ms
    And the store's connections are closed within 500 ms

    Examples:
      | part                   |
      | junk                   |
      | headers                |
      | informational heads    |
      | tiny chunks            |
      | a chunked body         |
      | a body without length  |
      | a body of false length |

  Scenario: an event number without end is no number
    Given an event whose number has 5000 digits
    Then the event is read as one without a number
