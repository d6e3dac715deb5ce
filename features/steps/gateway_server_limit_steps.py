"""Steps for the number of backend servers that one request reaches."""

import asyncio

from behave import given, then, when

from damaskrill.fakes.platform import Misbehaviour
from features.steps.gateway_cut_path_steps import send_one, served_share
from features.steps.gateway_path_steps import start_testbed

FAILURES = {
    "run and answer with 500": Misbehaviour.ERROR,
    "run and break off": Misbehaviour.RESET,
    "reject unread": Misbehaviour.FULL,
}
SHARES = {"half": 0.5, "all": 1.0}


@given("a platform with {n_engines:d} engines and {n_apps:d} app servers")
def step_platform(context, n_engines, n_apps):
    testbed = start_testbed(context)
    testbed.configure()
    for number in range(n_engines):
        testbed.add_server(f"e-{number}", "pool")
    for number in range(n_apps):
        testbed.add_server(f"a-{number}", "app")


@when("the app servers fail {share} of the requests, which they {failure}")
def step_fail(context, share, failure):
    for server_id, server in context.testbed.servers.items():
        if server_id.startswith("a-"):
            server.misbehaviour = FAILURES[failure]
            server.failure_share = SHARES[share]


def send_reads(context, *, per_s, seconds):
    async def run():
        tasks = []
        for _ in range(per_s * seconds):
            for gateway in context.testbed.gateways:
                tasks.append(asyncio.create_task(send_one(gateway, "/read/1")))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    return context.testbed.thread.run(run())


@when("each gateway gets {per_s:d} reads a second for {seconds:d} s")
def step_reads(context, per_s, seconds):
    context.results = send_reads(context, per_s=per_s, seconds=seconds)


@when(
    "each gateway gets {per_s:d} reads a second for {first_s:d} s, and again for "
    "{seconds:d} s"
)
def step_reads_twice(context, per_s, first_s, seconds):
    context.results = send_reads(context, per_s=per_s, seconds=first_s)
    context.later = send_reads(context, per_s=per_s, seconds=seconds)
    context.results += context.later


@then(
    "the first {n:d} gateways serve at least two thirds as many of the latter as the "
    "others"
)
def step_served(context, n):
    first = context.testbed.gateways[:n]
    cut = [each for each in context.later if each[0] in first]
    others = [each for each in context.later if each[0] not in first]
    shares = served_share(cut), served_share(others)
    assert shares[0] >= shares[1] * 2 / 3 > 0, shares


def servers_of(context, request_id):
    """Return the IDs of the servers at which a request has run."""
    servers = context.testbed.servers
    return sorted(each for each in servers if servers[each].runs[request_id])


@then("no read has run on more than {n:d} servers")
def step_within_limit(context, n):
    ids = [reply.request_id for _, _, reply in context.results]
    over = {each: servers_of(context, each) for each in ids}
    over = {each: servers for each, servers in over.items() if len(servers) > n}
    assert not over, f"{len(over)} of {len(ids)}: {over}"


@then("the service gets no more repeats than the retry budget allows")
def step_within_budget(context):
    settings = context.testbed.gateways[0]._settings
    ids = {reply.request_id for _, _, reply in context.results}
    arrivals = [
        request_id
        for server in context.testbed.servers.values()
        for _, request_id in server.arrivals
        if request_id in ids
    ]
    n_repeats = len(arrivals) - len(set(arrivals))
    n_allowed = settings.repeat_ratio * len(ids) + settings.repeat_slack
    assert n_repeats <= n_allowed, f"{n_repeats} of {n_allowed}"
