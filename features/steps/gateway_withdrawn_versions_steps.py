"""Steps for versions whose servers go while they read prompts."""

import asyncio
import re

from behave import given, then, when

from features.steps.gateway_stream_versions_steps import (
    N_EVENTS,
    add_engine,
    resume_check,
    run_all,
    send_check,
    settle,
)
from features.steps.gateway_upgrade_steps import Address
from features.support.former_build import FormerRouter

# Time from the head of an answer to its first event, and between two events.
READ_MS = 400
# Time from the last request until the servers end, between their first two events.
END_AFTER_S = 0.6
POLL_S = 0.01
LATER_START_MS = 9_000
# The last build that records a stream with its first event.
FORMER_COMMIT = "f058e82274b23d5d9fb6a841090cf2444f1433dd"


@when('engines "{one}" and "{other}" of version "{version}" are listed for {ms:d} ms')
def step_listed(context, one, other, version, ms):
    testbed = context.testbed
    context.withdrawn = (one, other)
    for engine in context.withdrawn:
        add_engine(context, engine, version)
    settle(
        context, lambda servers: {one, other} <= {each.server_id for each in servers}
    )
    for name, server in testbed.servers.items():
        server.author = context.version_of[name].encode()
        server._event_ms = READ_MS
    testbed.call(asyncio.sleep, ms / 1_000)


def change_entries(context, how):
    """Let the two lose their entries, or name other processes in them."""
    testbed = context.testbed
    for engine in context.withdrawn:
        key, entry = f"servers/{engine}", testbed.entries[engine]
        if how.startswith("lose"):
            testbed.store.delete(key)
        elif how.startswith("are listed"):
            (version,) = re.findall(r'"(\w+)"', how)
            changes = {"version": version, "born": LATER_START_MS}
            if how.endswith("elsewhere"):
                changes["address"] = testbed.entries["e-1"]["address"]
            testbed.store.put(key, {**entry, **changes})


async def wait_until_sent(context):
    """Wait until servers have received the requests of all callers."""
    servers = context.testbed.servers.values()
    while sum(len(each.requests) for each in servers) < context.n_callers:
        await asyncio.sleep(POLL_S)


async def go(context, how):
    await wait_until_sent(context)
    change_entries(context, how)
    match = re.search(r"after (\d+) ms", how)
    if match is not None:
        await asyncio.sleep(int(match.group(1)) / 1_000)
        for engine in context.withdrawn:
            entry = context.testbed.entries[engine]
            context.testbed.store.put(f"servers/{engine}", entry)


@when("{n:d} callers send checks, and before the first event the two {how}")
def step_send(context, n, how):
    context.n_callers, context.how = n, how


def play(context, ending):
    gateways = context.testbed.gateways

    async def end():
        await wait_until_sent(context)
        await asyncio.sleep(END_AFTER_S)
        for engine in ending:
            context.testbed.servers[engine].close()

    checks = [send_check(gateways[i % 3], i) for i in range(context.n_callers)]
    _, _, *context.first = run_all(context, [go(context, context.how), end(), *checks])


@when("the two end in the middle of their streams")
def step_end(context):
    play(context, context.withdrawn)


@when('engine "{engine}" ends in the middle of its streams')
def step_end_one(context, engine):
    play(context, [engine])


@when("callers whose checks broke off resume them at the next router")
def step_resume(context):
    gateways = context.testbed.gateways

    async def resume(number, first):
        if first.is_complete or not first.body:
            return (first,)
        gateway = gateways[(number + 1) % 3]
        return (first, await resume_check(gateway, number, first))

    context.streams = run_all(
        context, [resume(i, each) for i, each in enumerate(context.first)]
    )


def events_of(stream):
    """Return the version of each event of a stream, over its tries."""
    body = b"".join(each.body for each in stream)
    return [each.decode() for each in re.findall(rb"token-\d+ (\S+)", body)]


@then('at least {percent:d} % of the streams that began at "{version}" are complete')
def step_complete(context, percent, version):
    begun = [events for each in context.streams if (events := events_of(each))]
    lengths = [len(events) for events in begun if events[0] == version]
    assert lengths
    n_complete = sum(each == N_EVENTS for each in lengths)
    assert n_complete >= percent / 100 * len(lengths), (n_complete, len(lengths))


@given("a router of a build that records streams with their first event joins them")
def step_former(context):
    testbed = context.testbed
    seeds = ["{}:{}".format(*each._settings.peer_address) for each in testbed.gateways]
    router = FormerRouter(
        number=0,
        seeds=",".join(seeds),
        store=testbed.store.address,
        commit=FORMER_COMMIT,
    )
    context.add_cleanup(router.close)
    context.former = Address(router.callers)
    for gateway in testbed.gateways:
        assert testbed.wait_for(lambda each=gateway: each._mesh.n_links == 3)


@when(
    "{n:d} callers send checks to that router, and before the first event the two {how}"
)
def step_send_former(context, n, how):
    context.n_callers, context.how = n, how


@when("these callers break off after 1 event and resume at the others")
def step_resume_others(context):
    gateways = context.testbed.gateways

    async def call(number):
        first = await send_check(context.former, number, n_events=1)
        reply = await resume_check(gateways[number % 3], number, first)
        return (first, reply)

    calls = [call(i) for i in range(context.n_callers)]
    _, *context.streams = run_all(context, [go(context, context.how), *calls])
