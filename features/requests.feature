Feature: A request that may not be repeated runs at most once

  Scenario: A retry enters at another host
    Given 6 entry hosts in 3 availability zones
    When key 1 is asked for at host 0 and again at host 3
    Then key 1 has run once

  Scenario: The coordinating host dies after the send
    Given 6 entry hosts in 3 availability zones
    When key 2 is asked for at every host while the first one dies
    Then key 2 has run at most once
    And nobody was told falsely that it did not run
