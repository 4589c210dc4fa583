Feature: Requests survive the failure of each part

  Scenario: An agent is killed while it streams
    When a caller streams an answer and its agent is killed midway
    Then the caller has the whole answer once
    And the request is billed once

  Scenario: An engine breaks its streams
    Given each engine breaks after 3 tokens once
    When a caller streams an answer
    Then the caller has the whole answer once
    And the request is billed once

  Scenario: An agent is frozen
    When 10 requests are sent while an agent of the engines is frozen
    Then all of them are answered
    And each is billed once

  Scenario: The log is down
    Given the log is down
    When a cylinder is handed over
    Then the refusal is log_unavailable and not_run
    And the ledger has run the handover 0 times
    When 5 requests are sent
    Then all of them are answered
    When the log is back
    Then each is billed once
    When a cylinder is handed over
    Then the handover is answered
    And the ledger has run the handover 1 times

  Scenario: Answers of the log are lost
    Given the log loses the answers of the next 6 appends
    When a cylinder is handed over until it is answered
    And 5 requests are sent
    Then all of them are answered
    And the ledger has run the handover 1 times
    And each is billed once

  Scenario: An entry is killed after it has sent a handover
    Given the ledger takes 600 ms
    When a cylinder is handed over and the entry is killed midway
    And the handover is repeated at the other entry until it is answered
    Then the ledger has run the handover 1 times
    And the handover is billed once

  Scenario: A call is repeated at the other entry while it runs
    Given the ledger takes 600 ms
    When a cylinder is handed over at both entries at once
    Then the ledger has run the handover 1 times

  Scenario: An entry is stopped
    When requests go on while an entry is stopped gracefully
    Then no request was cut
    And each is billed once

  Scenario: An agent is stopped
    When requests go on while an agent of the engines is stopped gracefully
    Then no request was cut
    And each is billed once

  Scenario: A version is withdrawn while an entry can't reach the log
    Given an entry can not reach the log
    When an operator withdraws record-mini@1
    Then that entry refuses record-mini@1 within 13 s
