"""Steps for the soak test."""

import asyncio
import itertools
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

from behave import then, when

from damaskrill.soak import FaultKind, build_plan
from damaskrill.soak._checks import (
    ServerRecord,
    check_exchanges,
    check_leaving,
    check_pauses,
    was_sent_after_restart,
)
from damaskrill.soak._configuration_probes import Probe, check_probes
from damaskrill.soak._disruptions import Disruptions
from damaskrill.soak._fatal_requests import (
    FatalPart,
    FatalRequest,
    check_fatal_requests,
)
from damaskrill.soak._interruptions import check_interruptions
from damaskrill.soak._limits import LimitPeriod, check_limits
from damaskrill.soak._path_cuts import find_ports
from damaskrill.soak._plan import (
    OVERLAPPING_WORK,
    PECULIARITIES,
    ROUTER_SERIES,
    Fault,
)
from damaskrill.soak._proxy import FaultyProxy, LinkMode
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._run import loopback_network
from damaskrill.soak._schedule import Schedule
from damaskrill.soak._server_faults import ServerFaults
from damaskrill.soak._servers import ServerFleet
from features.support.gateways import GatewayTestbed
from features.support.soak_records import build_exchange, build_excuses

# What crashes servers in the plans that are built.
KINDS = (FaultKind.FATAL_PART, FaultKind.FATAL_REQUEST)
ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 120
# Faults of a kind that make a series.
MIN_SERIES = 3
# Time in which a link delivers a few bytes, in seconds.
LINK_S = 0.3
# Start in milliseconds, kind and target of the first and the last entries of seed 1,
# drawn before other kinds were added.
FORMER_ENTRIES = (
    (2_500, "signal_reload", 64),
    (3_184, "link_reset", 214),
    (3_213, "store_cut", 2),
    (3_523, "leave_server", 325),
    (7_594, "pause_router", 996),
    (8_282, "restore_store", 181),
    (8_729, "restore_store", 934),
    (10_350, "link_delay", 194),
)


def run_command(*words):
    return subprocess.run(
        [sys.executable, "-m", "damaskrill", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def find_violated(exchange, n_runs):
    server = ServerRecord(server_id="a", runs={"q9": n_runs}, arrivals=())
    return [each.promise for each in check_exchanges([exchange], [server])]


@when("the plans of {n:d} seeds are built twice")
def step_plans(context, n):
    context.first = [
        build_plan(seed, 12, fatal_kind=KINDS[seed % 2]) for seed in range(n)
    ]
    context.second = [
        build_plan(seed, 12, fatal_kind=KINDS[seed % 2]) for seed in range(n)
    ]


@then("both builds are the same")
def step_same(context):
    assert context.first == context.second


@then("every kind of fault occurs, and some overlap")
def step_kinds(context):
    faults = [fault for plan in context.first for fault in plan]
    assert {fault.kind for fault in faults} == set(FaultKind)
    overlapping = [
        (a, b)
        for plan in context.first
        for a, b in itertools.pairwise(plan)
        if b.at_s < a.at_s + a.duration_s
    ]
    assert overlapping


@when("the soak runs seeds 1 to 2 with 3 routers for 7 seconds")
def step_soak(context):
    done = run_command("soak", "--seeds", "2", "--seconds", "7", "--json")
    assert done.returncode in (0, 1), done.stderr
    context.results = [json.loads(line) for line in done.stdout.splitlines()]


@when(
    "the soak runs seed {seed:d} with {n:d} routers for {seconds:d} seconds {addition}"
)
def step_soak_seed(context, seed, n, seconds, addition):
    words = ["soak", "--seed", str(seed), "--seconds", str(seconds), "--json"]
    words += ["--routers", str(n)]
    if addition == "with a fatal part":
        words.append("--fatal-part")
    if addition == "with a fatal request":
        words.append("--fatal-request")
    done = run_command(*words)
    assert done.returncode in (0, 1), done.stderr
    context.results = [json.loads(line) for line in done.stdout.splitlines()]


@then("no guarantee is violated")
def step_no_violation(context):
    assert all(not each["breaches"] for each in context.results), context.results


@then("faults were injected and requests served")
def step_served(context):
    assert all(each["n_faults"] and each["n_served"] for each in context.results)


@then("an action that ran twice is found")
def step_twice(context):
    assert find_violated(build_exchange(), 2) == ["at_most_once"]
    assert find_violated(build_exchange("/read/1"), 2) == []


@then("a refusal of an action that has run is found")
def step_refusal(context):
    assert find_violated(build_exchange(status=503), 1) == ["not_run"]


@then("a read that ran at more servers than its route allows is found")
def step_too_many_servers(context):
    for n_servers, promises in ((2, []), (3, ["max_servers"])):
        servers = [
            ServerRecord(server_id=f"a-{n}", runs={"q9": 1}, arrivals=())
            for n in range(n_servers)
        ]
        found = check_exchanges([build_exchange("/read/1")], servers)
        assert [each.promise for each in found] == promises, found


@when("a server of the soak crashes")
def step_server_crashes(context):
    testbed = GatewayTestbed()
    context.add_cleanup(testbed.close)

    async def crash():
        disruptions, schedule = Disruptions(), Schedule()
        fleet = ServerFleet(
            reactor=testbed.reactor,
            store=testbed.store,
            disruptions=disruptions,
            schedule=schedule,
        )
        await fleet.start()
        address = fleet.proxies[0].address
        faults = ServerFaults(
            store=testbed.store,
            fleet=fleet,
            disruptions=disruptions,
            schedule=schedule,
            is_store_stable=lambda: True,
        )
        faults.inject(
            Fault(at_s=0, kind=FaultKind.CRASH_SERVER, target=0, duration_s=1)
        )
        try:
            await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            context.is_refused = True
        fleet.close()
        await schedule.cancel()

    context.is_refused = False
    testbed.call(crash)


@then("a connection to its address is refused")
def step_refused(context):
    assert context.is_refused


@when("a process opens a connection")
def step_open_connection(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.client = socket.create_connection(listener.getsockname())


@then("its port is among those of the process until it is closed")
def step_ports(context):
    port = context.client.getsockname()[1]
    assert port in find_ports(os.getpid())
    context.client.close()
    assert port not in find_ports(os.getpid())


@then("an answer to another request is found")
def step_other(context):
    assert find_violated(build_exchange(body=b"other"), 1) == ["own_answer"]


@then("an answer with a status that HTTP does not know is found")
def step_unknown_status(context):
    for status in (99, 600, 999):
        assert find_violated(build_exchange(status=status), 1) == ["status"]


@then("a request at a server long after its leaving notice is found")
def step_late(context):
    record = ServerRecord(server_id="a", runs={}, arrivals=((5.0, "q9"), (1.5, "p")))
    late = check_leaving(record, 1.0, 2.0, ["q9", "p"])
    assert [each.request_id for each in late] == ["q9"]


def build_probe(*, is_added, status, sent_at=10.0):
    exchange = build_exchange(
        request_id="probe", path="/probe-7/1", router=1, status=status, sent_at=sent_at
    )
    exchange.ended_at = sent_at + 0.1
    return Probe(exchange=exchange, version=7, is_added=is_added, written_at=7.0)


@then("a router without a route that was added in time is found")
def step_added(context):
    for status, n_found in ((404, 1), (401, 1), (200, 0), (503, 0), (0, 0)):
        probe = build_probe(is_added=True, status=status)
        found = check_probes([probe], Disruptions(), {})
        assert [each.promise for each in found] == ["configuration"] * n_found, found


@then("a router that serves a route that was removed in time is found")
def step_removed(context):
    for status, n_runs, n_found in ((200, 1, 1), (0, 1, 1), (404, 0, 0), (503, 0, 0)):
        probe = build_probe(is_added=False, status=status)
        found = check_probes([probe], Disruptions(), {"probe": n_runs})
        assert len(found) == n_found, found


@then("such routers are excused by faults of their own and of the store only")
def step_probe_excused(context):
    probe = build_probe(is_added=True, status=404)

    def is_found(prepare):
        disruptions = Disruptions()
        prepare(disruptions)
        return bool(check_probes([probe], disruptions, {}))

    assert not is_found(lambda each: each.record_router(1, 9.0, 9.5))
    assert not is_found(lambda each: each.record_router(1, 2.0, 5.0))
    assert not is_found(lambda each: each.record_store(8.0, 8.5))
    assert is_found(lambda each: each.record_router(2, 9.0, 9.5))
    assert is_found(lambda each: each.record_router(1, 1.0, 3.5))
    # A failure of the store after the time to apply excuses nothing.
    assert is_found(lambda each: each.record_store(9.5, 10.0))
    assert is_found(lambda each: each.record_planned("stop_router", 1, 8.0, 12.0))


@then("only a router that has started since an announcement is excused")
def step_restarted(context):
    exchange = build_exchange(sent_at=3.0)
    assert was_sent_after_restart(exchange, [1.0, 2.5], 2.0)
    assert not was_sent_after_restart(exchange, [1.0, 3.5], 2.0)


@then("requests in a pause are found unless their router has started since")
def step_pauses(context):
    exchanges = [build_exchange(request_id=f"q{n}", sent_at=float(n)) for n in range(5)]
    record = ServerRecord(
        server_id="a",
        runs={},
        arrivals=tuple((each.sent_at, each.request_id) for each in exchanges),
        pauses=((0.0, "q0"),),
    )
    unaffected = ["q0"]

    def find(starts=(), disruptions=None):
        began = (disruptions or Disruptions()).began_at_router
        return check_pauses(
            record, exchanges, 4.5, unaffected, lambda router: starts, began
        )

    assert [each.promise for each in find()] == ["pause"], find()
    assert find(starts=[2.5]) == []
    for router, begin, n_found in ((0, 0.5, 0), (0, -1.0, 1), (1, 0.5, 1)):
        disruptions = Disruptions()
        disruptions.record_router(router, begin, begin + 5.0)
        assert len(find(disruptions=disruptions)) == n_found


@then("requests beyond a stated limit are found")
def step_limits(context):
    period = LimitPeriod(server_id="a", begin=0.0, end=9.0)
    first = [(1.0, "q0")]
    allowed = [(4.5 + n / 10, f"q{n}") for n in range(11)]
    further = [(6.0, "q99")]
    ids = {f"q{n}" for n in range(100)}

    def find(arrivals, unaffected=ids):
        record = ServerRecord(server_id="a", runs={}, arrivals=tuple(arrivals))
        return [each.promise for each in check_limits(period, record, unaffected)]

    assert find(first + allowed) == []
    assert find(first + allowed + further) == ["limit"]
    assert find(first + allowed + further, ids - {"q99"}) == []
    assert find(first + allowed + [(3.9, "q99"), (9.1, "q99")]) == []


@then('"soak --seeds many" and "soak --routers 0" end with status 2')
def step_invalid(context):
    for words in (("soak", "--seeds", "many"), ("soak", "--routers", "0")):
        done = run_command(*words)
        assert done.returncode == 2, done
        assert len(done.stderr.splitlines()) == 1, done.stderr


@then("{n:d} processes with consecutive IDs have distinct networks")
def step_distinct_networks(context, n):
    networks = {loopback_network(4_190_000 + number) for number in range(n)}
    assert len(networks) == n
    assert all(0 <= int(part) <= 255 for each in networks for part in each.split("."))


@then("planned work begins while sound servers are silent or send unframed answers")
def step_planned_in_silence(context):
    overlaps = {
        (fault.kind, work.kind)
        for plan in context.first
        for fault in plan
        for work in plan
        if fault.kind in PECULIARITIES
        and work.kind in OVERLAPPING_WORK
        and fault.at_s <= work.at_s <= fault.at_s + fault.duration_s
    }
    assert overlaps == set(itertools.product(PECULIARITIES, OVERLAPPING_WORK))


@then("routers are killed, stopped and paused in series while a service fails")
def step_series_in_failure(context):
    seen = set()
    for plan in context.first:
        for fault in plan:
            if fault.kind is not FaultKind.FAILING_SERVICE:
                continue
            ends_at = fault.at_s + fault.duration_s
            kinds = Counter(
                each.kind for each in plan if fault.at_s < each.at_s < ends_at
            )
            seen |= {kind for kind, n in kinds.items() if n >= MIN_SERIES}
    assert set(ROUTER_SERIES) <= seen, seen


@then("seed 1 keeps the entries that it has always had")
def step_former_entries(context):
    entries = {
        (round(fault.at_s * 1_000), fault.kind.value, fault.target)
        for fault in build_plan(1, 12)
    }
    assert set(FORMER_ENTRIES) <= entries, entries


def find_interruptions(disruptions=None, **changes):
    """Return the promises broken by a request at a server that was silent until 2.5."""
    record = ServerRecord(
        server_id="a",
        runs={"q9": 1},
        arrivals=((1.1, "q9"),),
        silences=((1.2, 2.5, "q9"),),
    )
    values = {"status": 502, **changes}
    found = check_interruptions(
        [build_exchange(**values)], [record], build_excuses(disruptions)
    )
    return [each.promise for each in found]


@then("a request that ended early at a silent server is found")
def step_ended_early(context):
    assert find_interruptions() == ["silent_server"]
    assert find_interruptions(status=200, is_complete=False) == ["silent_server"]
    assert find_interruptions(status=200) == []
    assert find_interruptions(status=503) == []
    assert find_interruptions(ended_at=4.0) == []


@then("a request that ended early at a misbehaving server is excused")
def step_misbehaving(context):
    disruptions = Disruptions()
    disruptions.record_server("other", 0.0, 9.0)
    disruptions.record_router(1, 0.0, 9.0)
    assert find_interruptions(disruptions) == ["silent_server"]
    disruptions.record_server("a", 1.9, 2.1)
    assert find_interruptions(disruptions) == []


@then("a request whose server outlasts a router's grace period is excused")
def step_outlasts_grace(context):
    disruptions = Disruptions()
    disruptions.record_stop(0, 0.0)
    assert find_interruptions(disruptions) == ["silent_server"]
    disruptions.record_stop(0, -1.0)
    assert find_interruptions(disruptions) == []


# What servers crash at, the path of sound requests, and the crashes until it is known.
FATAL_PART = (FatalPart(part_id="bad"), "/chat/1", (1.0, 2.0, 3.0, 4.0, 5.0))
FATAL_REQUEST = (FatalRequest(), "/read/1", (1.0, 2.0, 3.0))


def find_fatal(case, n_late, *, n_served_after=30, body=b""):
    """Return the promises broken after enough crashes by a fatal input."""
    fatal_input, path, crashes = case
    fatal = [
        build_exchange(path, request_id=f"f{n}", sent_at=12.0, is_fatal=True)
        for n in range(n_late)
    ]
    last = build_exchange(request_id="last", sent_at=20.0, is_fatal=True)
    before = [build_exchange(path, ended_at=0.9) for _ in range(30)]
    after = [
        build_exchange(
            path,
            sent_at=12.0,
            ended_at=13.0,
            status=200 if n < n_served_after else 503,
            body=body,
        )
        for n in range(30)
    ]
    arrivals = tuple((12.0, each.request_id) for each in fatal)
    record = ServerRecord(server_id="a", runs={}, arrivals=arrivals)
    exchanges = [*fatal, last, *before, *after]
    found = check_fatal_requests(
        fatal_input, exchanges, [record], crashes, Disruptions()
    )
    return sorted({each.promise for each in found})


@then("too many fatal requests are found")
def step_fatal_found(context):
    for case in (FATAL_PART, FATAL_REQUEST):
        assert find_fatal(case, 3) == []
        assert find_fatal(case, 4) == ["fatal_request"]


@then("sound requests that are not served after such crashes are found")
def step_sound_found(context):
    assert find_fatal(FATAL_PART, 3, n_served_after=15) == []
    assert find_fatal(FATAL_PART, 3, n_served_after=14) == ["sound_requests"]
    blocked = b"crashing_request: backend servers have crashed"
    assert find_fatal(FATAL_REQUEST, 3, n_served_after=29, body=b"servers_paused") == []
    found = find_fatal(FATAL_REQUEST, 3, n_served_after=29, body=blocked)
    assert found == ["sound_requests"]


@when("a link loses a chunk of a stream and works again")
def step_lossy_link(context):
    async def send(reader, writer):
        for chunk in (b"first ", b"lost ", b"later"):
            await reader.readexactly(1)
            writer.write(chunk)
        writer.close()

    async def run():
        server = await asyncio.start_server(send, "127.0.0.1", 0)
        proxy = FaultyProxy(target=server.sockets[0].getsockname()[:2])
        await proxy.start()
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(b".")
        received = await reader.readexactly(6)
        proxy.mode = LinkMode.ONE_WAY
        writer.write(b".")
        await asyncio.sleep(LINK_S)
        proxy.mode = LinkMode.GOOD
        writer.write(b".")
        try:
            async with asyncio.timeout(LINK_S):
                received += await reader.read()
        except TimeoutError:
            # The connection is silent, as one whose bytes are lost.
            pass
        writer.transport.abort()
        proxy.close()
        server.close()
        await asyncio.sleep(LINK_S)
        return received

    context.received = asyncio.run(run())


@then("its reader gets nothing after the loss")
def step_nothing_later(context):
    assert context.received == b"first ", context.received


@when("a router is stopped while it has no process")
def step_stop_without_process(context):
    with tempfile.TemporaryDirectory() as folder:
        context.routers = RouterProcesses(
            folder=Path(folder),
            hosts=["127.0.0.1"],
            ports=(1, 2, 3),
            store=("127.0.0.1", 4),
        )
    context.was_sent = context.routers.stop(0)


@then("its next process is not killed at the end of the grace period")
def step_not_killed(context):
    (router,) = context.routers._routers
    assert not context.was_sent
    assert router.stopping_since == 0.0
