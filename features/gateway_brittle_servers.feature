Feature: Routers together turn away what brittle servers cannot bear
  Four servers run 4 requests of 300 ms each at a time. Each falls over if it has to reject
  more than 5 requests in a second, and is back after 1.5 s, as another process.

  Background:
    Given a platform with 4 brittle servers
    And 4 gateways that know each other

  Scenario: one and a half times what the servers bear
    When the gateways get 80 reads a second for 8 s
    Then the servers fall over at most 2 times
    And at least 240 reads are served
    And all others are refused with a time to come back

  Scenario: all routers start again while the servers are brittle
    When the gateways get 80 reads a second for 3 s
    And all gateways are replaced by 4 new ones
    And the gateways get 80 reads a second for 5 s
    Then the servers fall over at most 2 times
    And at least 130 reads are served

  Scenario: servers that no longer say so get as many requests as before
    When the gateways get 40 reads a second for 3 s
    And the servers are not brittle any more
    And the gateways get 40 reads a second for 3 s
    Then at least 115 reads are served

  Scenario Outline: what one router may have at a brittle server
    Given a router with <places> places at a brittle server that is known for <known> ms
    When it has <own> requests there and <events>
    Then it may <send> at a utilization of <utilization>

    Examples:
      | places | known | own | events                         | send      | utilization |
      | 4      | 9000  | 3   | nothing happens                | send      | 0.9         |
      | 4      | 9000  | 4   | nothing happens                | not send  | 0.1         |
      | 8      | 100   | 1   | nothing happens                | send      | 0.1         |
      | 8      | 100   | 2   | nothing happens                | not send  | 0.1         |
      | 8      | 100   | 2   | 2 requests are served          | send      | 0.1         |
      | 8      | 9000  | 6   | one is rejected                | not send  | 0.1         |
      | 8      | 9000  | 2   | one is rejected 1100 ms before | not send  | 0.1         |
      | 8      | 9000  | 0   | one is rejected 1100 ms before | send      | 0.1         |
      | 0      | 9000  | 0   | nothing happens                | send      | 0.4         |
      | 0      | 9000  | 0   | nothing happens                | not send  | 0.6         |
      | 0      | 9000  | 1   | nothing happens                | not send  | 0.1         |

  Scenario Outline: a value that does not say so is ignored
    Then the value "<value>" of the header states <stated>

    Examples:
      | value | stated  |
      | 5     | 5       |
      | 0     | 0       |
      | -1    | nothing |
      | many  | nothing |
      | nan   | nothing |
