Feature: A contract is validated completely before it is accepted

  Scenario: Two services claim one address
    Given a contract with two services at "127.0.0.1:7001"
    When the contract is parsed
    Then it is refused with code 3001
