Feature: One-file program that needs no checkout
  It runs from a read-only folder and needs only a memory-backed temporary folder.

  Scenario: commands run from a read-only folder
    Given the one file in a read-only folder
    When the one file is called with "version"
    Then it exits with status 0 and its output contains "(build "
    When the one file is called with "check no-such-file"
    Then it exits with status 2 and prints one line to standard error
    When the one file renders a report of an empty log as HTML
    Then it exits with status 0 and its output contains "<html"
    And no new file is left in the folder or in the temporary folder

  Scenario: a router runs from it without child processes
    Given the one file in a read-only folder
    When the one file serves with settings whose platform does not answer
    Then the process has no child process and no file in the temporary folder
    And it has no file open for writing except its output
    When the one file's process receives SIGTERM
    Then the process exits with status 0

  Scenario: the file without the interpreter runs with the interpreter of the machine
    Given the file built without the interpreter in a read-only folder
    When this interpreter runs the file with "version"
    Then it exits with status 0 and its output contains "(build "
