Feature: Operators change and examine a running fleet

  Scenario: A served request is explained and billed once
    Given 4 requests were served
    When asha states explain request of the last one
    Then the statement is done
    And it names an endpoint that served it
    When asha states --output=json show bill
    Then the bill has one row for each request

  Scenario: A version that an organisation may not use
    When asha states why not record@2 for malabar-cold
    Then the statement is done
    And the answer has: allow record@2 for malabar-cold

  Scenario: Two operators give conflicting orders
    Given the log is slow
    When two operators limit an organisation differently at once
    Then one of them is done
    And the other is rejected and told which change won

  Scenario: The log loses the answer to an order
    Given the log loses the answer to the next change
    When asha states limit board to 77 concurrent
    Then the statement is done
    And the configuration has this change once

  Scenario: A data centre is taken out
    When asha states take out data_centre kochi
    Then the statement is done
    And the progress has: pool record-assistants: present load
    And the progress has: pool ledger-app: present load
    When asha states bring back data_centre kochi
    Then the statement is done

  Scenario: The log is restored to older data
    When asha states withdraw record-mini@1
    Then the statement is done
    When the log loses this change
    And all daemons have noticed
    Then record-mini@1 is refused
    When asha states show configuration
    Then the answer has: repair configuration
    When asha states limit board to 50 concurrent
    Then the statement is rejected
    When asha states repair configuration
    Then the statement is done
    And record-mini@1 is refused
    When asha states limit board to 50 concurrent
    Then the statement is done
    When asha states show versions where state = withdrawn
    Then the answer has: record-mini

  Scenario: The entry and the agent of a handover are killed
    When a handover has run and its entry and agent are killed
    And asha states bill reconcile
    Then the statement is done
    And the answer has: rows written: 1
    And the handover is billed once
