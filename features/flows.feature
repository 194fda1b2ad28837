Feature: Established flows survive planned changes

  Scenario: An upstream drains while hosts are updated one after another
    Given 3 entry hosts and 4 upstreams
    And 200 open flows
    When an upstream drains and the hosts are updated one after another
    Then no flow has moved
    And no new flow goes to the draining upstream

  Scenario: An upstream is added
    Given 3 entry hosts and 4 upstreams
    And 200 open flows
    When an upstream is added and the hosts are updated one after another
    Then no flow has moved
