Feature: A late copy of an answer without a request ID is taken for no other answer
  # A server refuses without the ID of the request, and sends each refusal once more where
  # the next answer on the connection is due.
  Background:
    Given a platform with a server of each service
    And server "app-1" refuses without request IDs, and repeats that late

  Scenario: actions after requests without an ID
    # Guards against actions that run twice, or are told not to have run, by such a copy.
    When a caller sends 12 actions, and a read without an ID before each
    Then no action has run twice, and all are served

  Scenario: actions after actions that the server sheds
    When "app-1" is full for each second of 24 actions
    Then no action has run twice, and those that have run are served
    And each action that has not run is told so

  Scenario: actions after reads that the server sheds
    When "app-1" is full for 12 reads, each of which an action follows
    Then no action has run twice, and all are served

  Scenario: reads are answered, and none gets the answer to another
    When a caller sends 12 reads, and a read without an ID before each
    Then each read is served with its own answer

  Scenario Outline: actions after questions to a server about itself
    # Guards against connections that come back to the pool after a call without an ID.
    When the gateway asks "app-1" <question>, and the connection is idle again
    Then an action does not get that connection, and a read gets it

    Examples:
      | question              |
      | for its start         |
      | for its cached parts  |
      | whether it is reached |

  Scenario: reads go on to use connections that have carried such refusals
    Given server "app-1" repeats nothing
    When "app-1" is full for 12 reads, at first with request IDs and then without them
    Then no more connections are opened than with request IDs
