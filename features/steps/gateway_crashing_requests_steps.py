"""Steps for requests that crash servers, with gateways on loopback."""

import asyncio
import time

from behave import given, then, when

from damaskrill.fakes.platform import FakeServer, build_entry
from features.steps.gateway_crashing_prompts_steps import BETWEEN_S, RESTART_S
from features.support.gateways import GatewayTestbed

SERVICES = {"app": "app", "engine": "pool"}


@given(
    "a platform with {n:d} {kind} servers that crash on the request "
    '"{target}" and come back'
)
def step_platform(context, n, kind, target):
    context.testbed = testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)
    testbed.configure()
    context.crashed = []
    context.target, context.body = target, b""
    if not target.startswith("/read"):
        context.body = b"bad"
    for number in range(n):
        add_crashing_server(context, f"s-{number}", SERVICES[kind])


def add_crashing_server(context, name, service):
    testbed = context.testbed
    testbed.add_server(name, service)

    def restart():
        fresh = FakeServer(reactor=testbed.reactor, server_id=f"{name}-again")
        testbed.servers[fresh.server_id] = fresh
        prepare(fresh)
        entry = build_entry(service=service, address=fresh.address)
        testbed.store.put(f"servers/{fresh.server_id}", entry)

    def handle_crash():
        context.crashed.append(name)
        asyncio.get_running_loop().call_later(RESTART_S, restart)

    def prepare(server):
        server.fatal_requests = {(context.target.encode(), context.body)}
        server.on_crash = handle_crash

    prepare(testbed.servers[name])


def send_bad(context, gateway, **changes):
    values = {"path": context.target, "body": context.body, **changes}
    method = "GET" if values["path"].startswith("/read") else "POST"
    return context.testbed.send(
        values.pop("path"), gateway=gateway, method=method, **values
    )


@when("the request arrives at the first gateway")
def step_arrives(context):
    time.sleep(BETWEEN_S)
    context.reply = send_bad(context, context.testbed.gateways[0])


@then("all lines of failed attempts have one fingerprint")
def step_one_fingerprint(context):
    lines = context.testbed.logs[0].lines
    failed = [each for each in lines if each["event"] == "attempt_failed"]
    assert len(failed) > 1, failed
    assert len({each["fingerprint"] for each in failed}) == 1, failed
