Feature: Requests whose prompts crash backend servers
  A part of a prompt may crash each server that begins to answer a request with it.

  Scenario: the lines of failed attempts show which prompt parts they have in common
    Given a platform with engines "e-1" and "e-2" and app servers "a-1" and "a-2"
    And a gateway that is ready
    And all engines crash on the prompt part "bad"
    When a caller sends a chat with the prompt "aa,bad,q1"
    Then a line of a failed attempt names the parts "aa,bad" and an answer just begun
