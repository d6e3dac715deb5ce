Feature: The operators' text is validated in full and updated by section
  A text with any fault is rejected with the line, code and sentence of every fault.

  Scenario: every kind of section is parsed
    Given the operators' text
      """
      # Comments and blank lines are allowed.
      [service review]
      kind = engine
      depends_on = registry
      first_token_objective_ms = 1 s
      model = reader
      model_version = 3.1

      [service registry]
      kind = plain
      repeatable = no
      fencing_check = fenced

      [data_centre bole]
      region = addis
      in_service = no

      [backend_server engine-1]
      service = review
      address = 10.1.0.1:8000
      data_centre = bole
      bearable_load = 12 requests

      [backend_servers registry]
      find = host_list
      cold_load = 1

      [limits]
      load_multiple_percent = 150 %
      max_queue_wait_ms = 2 s

      [teams]
      field-office = 20 1
      quotes = 2 7
      """
    When the text is parsed as version 7
    Then the text has version 7, 2 services, 1 data centre, 1 backend server and 2 teams
    And service "review" depends on "registry" with a first-token objective of 1000 ms
    And the backend servers of "registry" are discovered by "host_list"
    And team "field-office" has share 20 and priority 1
    And team "other" has share 1 and priority 5

  Scenario: all faults of a text are reported together
    Given the operators' text
      """
      stray = 1
      [service review]
      kind = robot
      colour = blue
      depends_on = registry nowhere
      first_token_objective_ms = 5 MB
      objective_permille = 2000
      [service registry]
      depends_on = review
      [service registry]
      [backend_server engine-1]
      service = gone
      address = 10.1.0.1
      [backend_server engine-2]
      service = registry
      address = 10.1.0.2:8000
      data_centre = nowhere
      [backend_server engine-3]
      service = registry
      address = 10.1.0.2:8000
      data_centre = nowhere
      [backend_servers lost]
      find = host_list
      [engine x]
      [service -]
      [limits extra]
      [teams]
      a = 1
      b = 1 5
      b = 1 5
      c = 0 5
      nonsense
      [teams 5]
      """
    When the text is parsed as version 7
    Then the text's faults are
      | line | code                |
      | 1    | key_outside_section |
      | 2    | unknown_reference   |
      | 2    | dependency_cycle    |
      | 3    | wrong_value         |
      | 4    | unknown_key         |
      | 6    | wrong_unit          |
      | 7    | out_of_range        |
      | 10   | duplicate_section   |
      | 11   | missing_key         |
      | 11   | unknown_reference   |
      | 13   | wrong_value         |
      | 14   | unknown_reference   |
      | 18   | unknown_reference   |
      | 18   | duplicate_address   |
      | 22   | unknown_reference   |
      | 24   | unknown_section     |
      | 25   | invalid_name        |
      | 26   | unknown_section     |
      | 28   | wrong_value         |
      | 30   | duplicate_key       |
      | 31   | wrong_value         |
      | 32   | invalid_line        |
      | 33   | unknown_section     |

  Scenario: references and cycles are checked
    Given the operators' text
      """
      [service a]
      depends_on = b
      [service b]
      depends_on = c nowhere
      [service c]
      depends_on = a
      [data_centre bole]
      [backend_server one]
      service = a
      address = 10.1.0.1:8000
      data_centre = bole
      [backend_server two]
      service = gone
      address = 10.1.0.1:8000
      data_centre = elsewhere
      [backend_servers lost]
      find = host_list
      """
    When the text is parsed as version 7
    Then the text's faults are
      | line | code              |
      | 1    | dependency_cycle  |
      | 3    | unknown_reference |
      | 12   | unknown_reference |
      | 12   | unknown_reference |
      | 12   | duplicate_address |
      | 16   | unknown_reference |
    And a text fault contains "a -> b -> c -> a"

  Scenario: a capacity that is higher when cold than when warm is rejected
    Given the operators' text
      """
      [service a]
      [backend_servers a]
      find = host_list
      bearable_load = 4
      cold_load = 5
      """
    When the text is parsed as version 7
    Then the text's faults are
      | line | code               |
      | 2    | conflicting_values |

  Scenario Outline: a text that cannot be parsed has one fault
    Given <kind>
    When the text is parsed as version 7
    Then the text's only fault is "<code>" in line <line>

    Examples:
      | kind                                      | code       | line |
      | a text with a byte that is not UTF-8      | not_utf8   | 3    |
      | a text of 1048577 bytes                   | too_large  | 0    |
      | an empty text                             | no_service | 0    |

  Scenario: a text of at most 1 MB has room for 44,000 teams
    Given a text with 44000 teams
    When the text is parsed as version 7
    Then the text has at most 1000000 bytes and 44000 teams

  Scenario: the last valid text stays active after an invalid one
    Given a kernel that has accepted a text as version 1
    When it reads an invalid text as version 2
    Then it rejects version 2 with the faults' lines and keeps version 1
    When it reads a valid text as version 3
    Then version 3 is active

  Scenario: a text built from its sections equals the text parsed in full
    Given a text with 2000 teams
    When it is split into sections and applied to an empty text
    Then the result equals the text parsed in full

  Scenario: random updates by section give the same text as a full parse
    Given random changes of a text with seed 5
    Then each update by section gives the same text as a full parse
    And the text before each update is unchanged

  Scenario: a change of one team changes one small section
    Given a text with 44000 teams
    When the share of one team is changed
    Then one section of at most 4000 bytes differs

  Scenario: an update by section that breaks a reference is rejected
    Given a text with 10 teams
    When the section of its data centre is removed
    Then the update is rejected with "unknown_reference"

  Scenario: backend servers are discovered on the host list
    Given a kernel with a text that discovers the servers of "review" on the host list
    When the host list contains 2 live hosts and 1 leaving host of "review"
    Then 2 backend servers of "review" accept new requests
    When a host is removed from the host list
    Then 1 backend server of "review" accepts new requests

  Scenario Outline: the ramp of a cold server follows the text
    Given a text whose "ramp_step_requests" is <step>
    When a cold backend server with a cold load of 2 has finished <n_finished> requests
    Then its bound is <bound> requests

    Examples:
      | step | n_finished | bound |
      | 2    | 8          | 6     |
      | 4    | 8          | 4     |
      | 8    | 8          | 3     |
