Feature: Requests that crash backend servers whenever they come again
  A request may crash each server that begins to run it. It comes again with another ID, but
  with the same path, caller and body.

  Scenario: the lines of failed attempts show that one request has come again
    Given a platform with 5 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the first gateway
    And the request arrives at the first gateway
    Then all lines of failed attempts have one fingerprint
