Feature: Requests that crash backend servers whenever they come again
  A request may crash each server that begins to run it. It comes again with another ID, but
  with the same path, team and body.

  Scenario: the lines of failed attempts show that one request has come again
    Given a platform with 5 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the first gateway
    And the request arrives at the first gateway
    Then all lines of failed attempts have one fingerprint

  Scenario Outline: a request that has crashed three servers is not sent to more
    Given a platform with 6 <kind> servers that crash on the request "<target>" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn until one rejects it
    Then 3 to 4 servers have crashed
    And all gateways reject the request as not run, without a server
    And all gateways serve the same path with another body, and by another team
    And the metrics and the log of a gateway name the blocked request

    Examples:
      | kind   | target     |
      | app    | /read/bad  |
      | app    | /issue/bad |
      | engine | /chat/bad  |
      | engine | /check/bad |

  Scenario: the third server that a request crashes is the last although all end at once
    Given a platform with 6 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn, 60 ms apart, until one rejects it
    Then 3 to 5 servers have crashed

  Scenario: a gateway that starts rejects a request that has crashed servers
    Given a platform with 6 app servers that crash on the request "/read/bad" and come back
    And 3 gateways that know each other
    When the request arrives at the gateways in turn until one rejects it
    And another gateway starts and has links
    Then all gateways reject the request as not run, without a server
