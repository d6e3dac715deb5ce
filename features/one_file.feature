Feature: The program is one file that needs no checkout
  It runs from a read-only folder, with a memory-backed temporary folder only.

  Scenario: commands run from a read-only folder
    Given the one file in a read-only folder
    When the one file is called with "version"
    Then it ends with status 0 and its output holds "(build "
    When the one file is called with "check no-such-file"
    Then it ends with status 2 and its standard error is one line
    When the one file writes a report of an empty log as a page
    Then it ends with status 0 and its output holds "<html"
    And neither the folder nor the temporary folder holds anything new

  Scenario: a router runs from it without a further process
    Given the one file in a read-only folder
    When the one file serves with settings whose platform does not answer
    Then the process has no child process and keeps nothing in the temporary folder
    And it has no file open for writing but its output
    When the one file's process gets SIGTERM
    Then it ends with status 0 in the end

  Scenario: the file without the interpreter does the same
    Given the file built without the interpreter in a read-only folder
    When this interpreter runs the file with "version"
    Then it ends with status 0 and its output holds "(build "
