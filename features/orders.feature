Feature: Orders to load a model depend only on the text and the host list
  Two routers that both order an engine send the same order, and few engines load
  concurrently.

  Scenario: all routers derive the same orders
    Given a text with 20 engines of a model, and 3 routers
    Then all routers derive the same orders with the version of the text

  Scenario: the number of engines that load concurrently is bounded over the fleet
    Given a text with 20 engines of a model, and 3 routers
    When the routers run through all time slots for orders
    Then every engine was ordered by one router
    And no time slot has orders for more than 4 engines

  Scenario: routers whose views differ never send different orders to an engine
    Given a text with 20 engines of a model, and 3 routers
    And router 1 has a view with no other member
    When the routers run through all time slots for orders
    Then no engine got two different orders
    And no time slot has orders for more than 4 engines

  Scenario: a leaving engine and one in a data centre out of service get no order
    Given a text with 20 engines of a model, and 3 routers
    And 2 of the engines are leaving
    When the routers run through all time slots for orders
    Then 18 engines were ordered

  Scenario: a service without a model gets no orders
    Given a text with 20 engines without a model, and 3 routers
    When the routers run through all time slots for orders
    Then 0 engines were ordered

  Scenario: a process that does not trust its view sends no orders
    Given a text with 20 engines of a model, and 3 routers
    And no router trusts its view
    When the routers run through all time slots for orders
    Then 0 engines were ordered
