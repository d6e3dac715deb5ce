"""Steps for orders to engines."""

from collections import defaultdict

import attrs
from behave import given, then, when

from damaskrill.configuration import ServiceSpec
from damaskrill.messages import FleetViewChanged, OrderEngine, Tick
from damaskrill.orders import LOAD_SLOT_MS, EngineOrders, desired_orders
from features.support.builders import (
    build_member,
    build_server,
    build_text,
    build_view,
)

TICK_MS = 1_000


def build_views(n_engines, n_routers, model):
    service = ServiceSpec(name="dossier-review", model=model, model_version="3")
    servers = [build_server(n) for n in range(1, n_engines + 1)]
    text = build_text(version=7, servers=servers, services=[service])
    members = [build_member(n) for n in range(1, n_routers + 1)]
    return [build_view(text=text, own=each, members=members) for each in members]


@given("a text with {n_engines:d} engines of a model, and {n_routers:d} routers")
def step_engines(context, n_engines, n_routers):
    context.order_views = build_views(n_engines, n_routers, "reviewer")


@given("a text with {n_engines:d} engines without a model, and {n_routers:d} routers")
def step_engines_without_model(context, n_engines, n_routers):
    context.order_views = build_views(n_engines, n_routers, "")


@given("router 1 has a view with no other member")
def step_alone(context):
    view = context.order_views[0]
    context.order_views[0] = attrs.evolve(view, members=(view.own,))


@given("{n_leaving:d} of the engines are leaving")
def step_leaving(context, n_leaving):
    context.order_views = [
        attrs.evolve(
            view,
            servers_by_service={
                name: servers[n_leaving:]
                for name, servers in view.servers_by_service.items()
            },
        )
        for view in context.order_views
    ]


@given("no router trusts its view")
def step_untrusted(context):
    context.order_views = [
        attrs.evolve(view, trusted=False) for view in context.order_views
    ]


@when("the routers run through all time slots for orders")
def step_run_slots(context):
    context.sent_orders = defaultdict(list)
    deciders = []
    for view in context.order_views:
        decider = EngineOrders(own=view.own)
        decider.decide(FleetViewChanged(view=view), 0)
        deciders.append(decider)
    for now_ms in range(0, 5 * LOAD_SLOT_MS, TICK_MS):
        for decider in deciders:
            for effect in decider.decide(Tick(), now_ms):
                if isinstance(effect, OrderEngine):
                    context.sent_orders[now_ms // LOAD_SLOT_MS].append(effect)


def all_orders(context):
    return [order for orders in context.sent_orders.values() for order in orders]


@then("all routers derive the same orders with the version of the text")
def step_same_orders(context):
    first, *others = [desired_orders(view) for view in context.order_views]
    assert first and all(each == first for each in others)
    assert {each.fencing_number for each in first} == {7}


@then("every engine was ordered by one router")
def step_all_ordered(context):
    names = [each.backend_server for each in all_orders(context)]
    assert len(names) == len(set(names)) == 20, names


@then("no time slot has orders for more than {n_engines:d} engines")
def step_bounded(context, n_engines):
    for orders in context.sent_orders.values():
        assert len({each.backend_server for each in orders}) <= n_engines, orders


@then("no engine got two different orders")
def step_no_contradiction(context):
    by_engine = defaultdict(set)
    for order in all_orders(context):
        by_engine[order.backend_server].add(order)
    assert all(len(each) == 1 for each in by_engine.values()), by_engine


@then("{n_engines:d} engines were ordered")
def step_n_ordered(context, n_engines):
    names = {each.backend_server for each in all_orders(context)}
    assert len(names) == n_engines, names
