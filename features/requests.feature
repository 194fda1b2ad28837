Feature: A keyed request runs at most once

  Scenario: A retry arrives at another host
    Given 6 entry hosts in 3 availability zones
    When key 1 is requested at host 0 and again at host 3
    Then key 1 has run once

  Scenario: The coordinating host dies after the send
    Given 6 entry hosts in 3 availability zones
    When key 2 is requested at every host while the first one dies
    Then key 2 has run at most once
    And no caller received a false answer that it did not run
