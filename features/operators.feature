Feature: Operators edit contracts

  Background:
    Given an empty catalogue

  Scenario: Two operators edit the same version concurrently
    When edit "a" replaces version 0 of customer "balans"
    And edit "b" replaces version 0 of customer "balans"
    Then edit "a" has code 0
    And edit "b" has code 3002

  Scenario: An operator resends after a lost answer
    When edit "a" replaces version 0 of customer "balans"
    And the catalogue is restored from its snapshot
    And edit "a" replaces version 0 of customer "balans"
    Then edit "a" has code 0
    And the last version is the first one of edit "a"

  Scenario: An address is claimed by two customers
    When edit "a" replaces version 0 of customer "balans"
    And edit "b" replaces version 0 of customer "huaylas" at the same address
    Then edit "b" has code 3001
