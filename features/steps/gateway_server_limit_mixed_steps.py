"""Steps for the number of servers that requests reach beside overlapping faults."""

import asyncio
from random import Random

from behave import then, when

from damaskrill.fakes.platform import Misbehaviour
from features.steps.gateway_cut_path_steps import cut_path, send_one
from features.steps.gateway_server_limit_steps import servers_of

PATHS = ("/read/1", "/check/1", "/issue/1", "/chat/1")
NOT_REPEATABLE = ("/issue/1", "/chat/1")
MISBEHAVIOURS = (
    Misbehaviour.NONE,
    Misbehaviour.ERROR,
    Misbehaviour.RESET,
    Misbehaviour.FULL,
    Misbehaviour.PAUSE,
    Misbehaviour.CUT,
    Misbehaviour.MID_EVENT,
    Misbehaviour.NO_SEAL,
    Misbehaviour.OTHER_ID,
    Misbehaviour.MOVED,
    Misbehaviour.RUBBISH,
    Misbehaviour.SECOND_ANSWER,
)
WAYS = ("reset", "silent", "accepted and then reset", "accepted and then silent")
STEP_S = 0.1
MAX_CUT = 2


class _Faults:
    """Draws the faults of servers, and which routers have no path to them."""

    def __init__(self, testbed, random, condition):
        self._testbed = testbed
        self._random = random
        self._condition = condition
        self._cut = []

    def change_servers(self):
        for server in self._testbed.servers.values():
            if self._random.random() < 0.1:
                server.misbehaviour = self._random.choice(MISBEHAVIOURS)
                server.failure_share = self._random.choice((0.3, 0.6, 1.0))
                server.silence_ms = self._random.choice((400, 900, 1_500))
                self._change_statements(server)

    def _change_statements(self, server):
        if self._condition == "servers state limits":
            server.rate_limit = self._random.choice((None, None, b"3.0"))
        if self._condition == "servers say that they are brittle":
            server.brittle_per_s = self._random.choice((None, 30))

    def change_paths(self):
        if self._random.random() > 0.15:
            return
        gateway = self._random.choice(self._testbed.gateways)
        if gateway in self._cut:
            gateway._dispatcher.pool.open = gateway.open_before_cut
            self._cut.remove(gateway)
        elif len(self._cut) < MAX_CUT:
            cut_path(gateway, self._random.choice(WAYS))
            self._cut.append(gateway)


@when(
    "requests of all kinds come for {seconds:d} s beside faults drawn from seed "
    "{seed:d}, while {condition}"
)
def step_requests(context, seconds, seed, condition):
    testbed, random = context.testbed, Random(seed)
    if condition == "engines of two versions serve":
        for number in range(3):
            testbed.change_entry(f"e-{number}", version="v1.1")
    faults = _Faults(testbed, random, condition)

    async def run():
        tasks = []
        for _ in range(round(seconds / STEP_S)):
            faults.change_servers()
            faults.change_paths()
            for gateway in testbed.gateways:
                for path in PATHS:
                    if random.random() < 0.5:
                        tasks.append(asyncio.create_task(send_one(gateway, path)))
            await asyncio.sleep(STEP_S)
        return await asyncio.gather(*tasks)

    context.results = testbed.thread.run(run())


@then("no action or chat has run twice")
def step_not_twice(context):
    runs = [
        context.testbed.runs_of(reply.request_id)
        for _, path, reply in context.results
        if path in NOT_REPEATABLE
    ]
    assert max(runs) <= 1, runs


@then("some requests went through peers")
def step_relayed(context):
    lines = [line["event"] for log in context.testbed.logs for line in log.lines]
    assert "request_relayed" in lines
    ran = [servers_of(context, reply.request_id) for _, _, reply in context.results]
    assert any(len(each) == 2 for each in ran)
