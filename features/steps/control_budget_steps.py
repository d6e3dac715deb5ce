"""Steps for the budget of control traffic."""

from collections import Counter

from behave import given, then, when

from damaskrill.control import ControlBudget, ControlClass
from damaskrill.kernel import build_kernel
from damaskrill.messages import (
    DispatchAttempt,
    HostListRead,
    LoadReported,
    LoadScope,
    LoadSums,
    OfferAttempt,
    PeerDelivered,
    Probe,
    SendToPeer,
    TextDelta,
    TextRead,
    TextSection,
    Tick,
)
from features.support.builders import (
    MINIMAL_TEXT,
    build_hosts,
    build_member,
    build_request,
)

PEER = build_member(2)
READY_MS = 2_000


def build_sums():
    return LoadSums(
        scope=LoadScope.ROUTER,
        services_digest=1,
        services=(1, 2),
        load_sums=(3, 4),
        n_servers=(5, 6),
    )


def build_delta(number, n_bytes):
    section = TextSection(header="a", content=b"x" * n_bytes, version=number)
    return TextDelta(base_version=0, version=number, digest=0, sections=(section,))


def send(context, payloads, at_ms):
    effects = [SendToPeer(address=PEER.address, payload=each) for each in payloads]
    passed = context.budget.filter(effects, at_ms)
    context.sent.extend(each.payload for each in passed)


def counts(context):
    return Counter(type(each).__name__ for each in context.sent)


@given("a control budget of {rate:d} bytes per second with a burst of {burst:d}")
def step_budget(context, rate, burst):
    context.budget = ControlBudget(bytes_per_s=rate, burst_bytes=burst)
    context.sent = []


@when("{n_sums:d} load sums and {n_probes:d} probes are to be sent at {at_ms:d} ms")
def step_send(context, n_sums, n_probes, at_ms):
    send(context, [build_sums()] * n_sums, at_ms)
    send(context, [Probe(sequence=1)] * n_probes, at_ms)


@when("{n:d} text deltas of {n_bytes:d} bytes are to be sent at {at_ms:d} ms")
def step_send_deltas(context, n, n_bytes, at_ms):
    send(context, [build_delta(number, n_bytes) for number in range(n)], at_ms)


@when("{n:d} text deltas of {n_bytes:d} bytes are received at {at_ms:d} ms")
def step_receive_deltas(context, n, n_bytes, at_ms):
    for number in range(n):
        delivered = PeerDelivered(sender=PEER, payload=build_delta(number, n_bytes))
        context.budget.charge_received(delivered, at_ms)


@when("{n:d} offers of attempts are to be sent at {at_ms:d} ms")
def step_send_offers(context, n, at_ms):
    offer = OfferAttempt(
        attempt_id="a",
        request=build_request(),
        backend_server="engine-1",
        remaining_ms=1_000,
    )
    send(context, [offer] * n, at_ms)


@when("the control budget is polled until {at_ms:d} ms")
def step_wait(context, at_ms):
    for each_ms in range(0, at_ms + 1, 100):
        send(context, [], each_ms)


@when(
    "load sums and probes of more than {n_bytes:d} bytes are to be sent "
    "every second for {duration_s:d} s"
)
def step_flood(context, n_bytes, duration_s):
    context.duration_s = duration_s
    for second in range(duration_s):
        send(context, [build_sums(), Probe(sequence=1)] * 40, second * 1_000)


@then("{n_sums:d} load sums and {n_probes:d} probes were sent")
def step_sent(context, n_sums, n_probes):
    sent = counts(context)
    assert (sent["LoadSums"], sent["Probe"]) == (n_sums, n_probes), sent


@then("{n_probes:d} probes and fewer than {n_sums:d} load sums were sent")
def step_fewer_sums(context, n_probes, n_sums):
    sent = counts(context)
    assert sent["Probe"] == n_probes and 0 < sent["LoadSums"] < n_sums, sent


@then("the budget counts the dropped messages")
def step_dropped(context):
    n_dropped = context.budget.n_dropped(ControlClass.LOAD)
    assert n_dropped == 60 - counts(context)["LoadSums"], n_dropped


@then("fewer than {n:d} text deltas were sent")
def step_fewer_deltas(context, n):
    assert 0 < counts(context)["TextDelta"] < n, counts(context)


@then("all {n:d} text deltas were sent in order")
def step_all_deltas(context, n):
    versions = [each.version for each in context.sent]
    assert versions == list(range(n)), versions


@then("at most {n_bytes:d} bytes per second were sent")
def step_rate(context, n_bytes):
    total = sum(context.budget.n_bytes_sent(each) for each in ControlClass)
    assert total / context.duration_s <= n_bytes, total / context.duration_s


@then("{n:d} offers of attempts were sent")
def step_offers_sent(context, n):
    assert counts(context)["OfferAttempt"] == n, counts(context)


@given("a kernel that owns a backend server and has a peer")
def step_kernel_with_peer(context):
    own = build_member(1)
    kernel = build_kernel(own=own, random_state=1)
    kernel.decide(HostListRead(hosts=build_hosts([own, PEER])), 0)
    kernel.decide(TextRead(version=1, content=MINIMAL_TEXT), 0)
    for at_ms in range(0, READY_MS + 1, 100):
        kernel.decide(Tick(), at_ms)
        kernel.decide(PeerDelivered(sender=PEER, payload=Probe(sequence=1)), at_ms)
        report = LoadReported(
            backend_server="engine-1",
            start_id="s",
            load=0,
            measured_at_ms=at_ms,
            n_finished=100,
        )
        kernel.decide(report, at_ms)
    context.paused_kernel = kernel


@when("it is paused for {duration_ms:d} ms and then receives an offer of its peer")
def step_pause_then_offer(context, duration_ms):
    offer = OfferAttempt(
        attempt_id="a",
        request=build_request(),
        backend_server="engine-1",
        remaining_ms=10_000,
    )
    delivered = PeerDelivered(sender=PEER, payload=offer)
    now_ms = READY_MS + duration_ms
    context.effects_after_pause = context.paused_kernel.decide(delivered, now_ms)


@then("the offer leads to {n:d} dispatches")
def step_dispatches(context, n):
    dispatched = [
        each
        for each in context.effects_after_pause
        if isinstance(each, DispatchAttempt)
    ]
    assert len(dispatched) == n, context.effects_after_pause
