"""Steps for servers that are out of use during a pause that they have asked for."""

import time

from behave import then, when

from damaskrill.fakes.platform import build_configuration as build_content

PAUSE_S = 4.0
SERVICE = "app"


def wait_until_usable(context, is_usable):
    catalog = context.testbed.gateways[0]._catalog
    assert context.testbed.wait_for(
        lambda: bool(catalog.find_servers(SERVICE)) == is_usable
    )


@when("nothing changes for {n:d} ms")
def step_nothing_changes(context, n):
    time.sleep(n / 1_000)


@when("the servers' data centre is out of service for {n:d} ms")
def step_centre_out(context, n):
    testbed = context.testbed
    testbed.call(testbed.store.evacuate, "bole")
    wait_until_usable(context, False)
    time.sleep(n / 1_000)
    testbed.call(testbed.store.cancel_evacuation, "bole")
    wait_until_usable(context, True)


def publish(context, content):
    """Publish a configuration and wait until it is in force."""
    testbed = context.testbed
    catalog = testbed.gateways[0]._catalog
    testbed.call(testbed.store.put_configuration, content)
    assert testbed.wait_for(lambda: catalog.configuration.version == content["version"])


@when("the configuration lacks the servers' service for {n:d} ms")
def step_without_service(context, n):
    content = build_content(version=2)
    for name, field in (("routes", "service"), ("services", "name")):
        content[name] = [each for each in content[name] if each[field] != SERVICE]
    publish(context, content)
    time.sleep(n / 1_000)
    publish(context, build_content(version=3))


@then("{n:d} reads before the end of the pause reach only the other server")
def step_only_other(context, n):
    for _ in range(n):
        reply = context.testbed.send("/read/1", method="GET", body=b"")
        assert reply.status == 200, reply
    assert time.monotonic() - context.paused_at < PAUSE_S
    assert len(context.paused.requests) == context.n_before, len(
        context.paused.requests
    )
