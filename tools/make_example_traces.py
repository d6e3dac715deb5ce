"""Record the example traces by running real kernels against fake servers.

The expected outcomes are written here, derived from the text and the guarantees of the
product; none is copied from the results of a run. The script exits with an error and
prints expected and actual outcome if a scenario does not meet its expectations. The
docstring of a scenario is the title of its trace.

Usage: ``python -m tools.make_example_traces``
"""

import io
import sys
from pathlib import Path

from attrs import define, field

from damaskrill.codec import message_to_map
from damaskrill.kernel import build_kernel
from damaskrill.messages import Member, PermitRequested, RequestArrived
from damaskrill.traces import (
    ExpectedAnswerCount,
    ExpectedCause,
    ExpectedDispatchCount,
    ExpectedLoadAtMost,
    ExpectedNoDispatchTo,
    ExpectedOutcome,
    ExpectedSameServer,
    ExpectedTextVersion,
    TraceHeader,
    TraceRouter,
    dump_line,
    expectation_to_map,
    header_to_map,
    replay_files,
)
from features.support.builders import build_request
from features.support.pump import Pump

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "examples" / "traces"
SEED = 7
# Time for the routers' views to converge before the first request.
READY_MS = 3_000
STOP_DISPATCH_DELAY_MS = 3_000
BLOCK_TOKENS = 64
N_DOSSIER_BLOCKS = 20


class RecordingKernel:
    """Wrapper that records each input before the real kernel decides on it."""

    def __init__(self, *, kernel, name, entries):
        self._kernel = kernel
        self._name = name
        self._entries = entries
        self.own = kernel.own
        self.deciders = kernel.deciders

    def decide(self, message, now_ms):
        self._entries.append((now_ms, self._name, message))
        return self._kernel.decide(message, now_ms)


@define(kw_only=True, slots=False)
class RecordingPump(Pump):
    """Small fleet that records the inputs of its kernels."""

    entries: list = field(factory=list)
    trace_routers: list = field(factory=list)

    def _build_kernel(self, member):
        random_state = self.random.getrandbits(32)
        router = TraceRouter(
            name=member.member_id,
            address=member.address,
            data_centre=member.data_centre,
            incarnation=member.incarnation,
            random_state=random_state,
        )
        self.trace_routers.append(router)
        return RecordingKernel(
            kernel=build_kernel(own=member, random_state=random_state),
            name=router.name,
            entries=self.entries,
        )

    def deliver_text(self):
        """Deliver the published text to all routers, as a watch would."""
        for router in self.live_routers:
            self.deliver(router, self.configuration.read())

    def find_router(self, data_centre):
        return next(
            each for each in self.live_routers if each.member.data_centre == data_centre
        )

    def send_chat(self, n, data_centre, **fields):
        """Send the n-th chat through the router of a data centre."""
        dossier = int(fields.get("dossier", "dossier-0").rpartition("-")[2])
        first_block = dossier * 1_000
        fields.setdefault("deadline_ms", self.now_ms + 20_000)
        fields.setdefault("n_prompt_tokens", N_DOSSIER_BLOCKS * BLOCK_TOKENS)
        fields.setdefault(
            "prefix_blocks", tuple(range(first_block, first_block + N_DOSSIER_BLOCKS))
        )
        request = build_request(n, **fields)
        router = self.find_router(data_centre)
        self.send_request(router, RequestArrived(request=request), request)

    def send_action(self, n, data_centre, **fields):
        """Send the n-th action through the router of a data centre."""
        fields.setdefault("deadline_ms", self.now_ms + 10_000)
        request = build_request(n, repeatable=False, **fields)
        router = self.find_router(data_centre)
        self.send_request(router, RequestArrived(request=request), request)

    def request_permit(self, n, data_centre, service):
        """Return a permit issued by the router of a data centre."""
        permit_request = PermitRequested(
            request_id=f"permit-{n}", service=service, team="team-1"
        )
        self.deliver(self.find_router(data_centre), permit_request)
        return self.permits[f"permit-{n}"]


def build_routers(*data_centres):
    return [
        Member(address=f"10.0.{n}.1:7000", data_centre=name, incarnation=f"p{n}")
        for n, name in enumerate(data_centres, start=1)
    ]


def read_text(name):
    return (ROOT / "examples" / f"{name}.ini").read_bytes()


def start(text, *data_centres, until_ms=READY_MS, seed=SEED):
    pump = RecordingPump(
        text=text, members=build_routers(*data_centres), random_state=seed
    )
    pump.deliver_text()
    pump.run_until(until_ms)
    return pump


def expect_completed_once(numbers, at_ms):
    """Expect each of these requests to be completed and answered once."""
    return [
        expected
        for n in numbers
        for expected in (
            ExpectedOutcome(
                at_ms=at_ms, request_id=f"request-{n}", outcome="completed"
            ),
            ExpectedAnswerCount(at_ms=at_ms, request_id=f"request-{n}"),
        )
    ]


def abay_dossier_returns():
    """Officers return to one dossier; its chats meet the same engine."""
    pump = start(read_text("abay"), "bole", "kirkos")
    for n, data_centre in enumerate(("bole", "kirkos", "bole", "kirkos"), start=1):
        pump.send_chat(n, data_centre, dossier="dossier-4", chat=f"chat-{n}")
        pump.run_until(pump.now_ms + 1_200)
    end_ms = pump.now_ms
    request_ids = tuple(f"request-{n}" for n in range(1, 5))
    return pump, [
        *expect_completed_once(range(1, 5), end_ms),
        ExpectedSameServer(at_ms=end_ms, request_ids=request_ids),
    ]


SMALL_TEXT = b"""\
[service dossier-review]
kind = engine

[service issuance]
kind = plain
repeatable = no

[data_centre bole]

[backend_server engine-1]
service = dossier-review
address = 10.1.1.1:8000
data_centre = bole
bearable_load = 4
cold_load = 4

[backend_server licensing-1]
service = issuance
address = 10.1.1.9:8100
data_centre = bole

[backend_server licensing-2]
service = issuance
address = 10.1.1.8:8100
data_centre = bole

[limits]
load_floor = 8
"""


def abay_load_bound():
    """A surge meets an engine that bears 4 requests at once."""
    pump = start(SMALL_TEXT, "bole")
    for n in range(1, 13):
        pump.send_chat(n, "bole", dossier="dossier-1", deadline_ms=pump.now_ms + 15_000)
        pump.run_until(pump.now_ms + 5)
    pump.run_until(pump.now_ms + 8_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedLoadAtMost(at_ms=end_ms, backend_server="engine-1", value=4),
        *expect_completed_once(range(1, 13), end_ms),
    ]


def abay_cold_start():
    """An engine that has just started bears 2 requests and gets no more."""
    text = SMALL_TEXT.replace(b"cold_load = 4", b"cold_load = 2")
    pump = start(text.replace(b"bearable_load = 4", b"bearable_load = 16"), "bole")
    for n in range(1, 7):
        pump.send_chat(n, "bole", dossier="dossier-1")
        pump.run_until(pump.now_ms + 5)
    first_end_ms = pump.now_ms + 20
    pump.run_until(pump.now_ms + 8_000)
    return pump, [
        ExpectedLoadAtMost(at_ms=first_end_ms, backend_server="engine-1", value=2),
        *expect_completed_once(range(1, 7), pump.now_ms),
    ]


def abay_issuance_connection_lost():
    """The licensing server's connection breaks after the request was sent."""
    pump = start(SMALL_TEXT, "bole")
    permit = pump.request_permit(1, "bole", "issuance")
    pump.send_action(1, "bole", service="issuance", permit=permit)
    pump.run_until(pump.now_ms + 10)
    pump.restart_server(pump.dispatches[-1].attempt.backend_server)
    pump.run_until(pump.now_ms + 500)
    pump.send_action(2, "bole", service="issuance", permit=permit)
    pump.run_until(pump.now_ms + 3_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedDispatchCount(at_ms=end_ms, permit=permit, at_most=1, at_least=1),
        ExpectedOutcome(at_ms=end_ms, request_id="request-1", outcome="unknown"),
        ExpectedOutcome(at_ms=end_ms, request_id="request-2", outcome="unknown"),
        ExpectedCause(
            at_ms=end_ms, request_id="request-1", code="backend_server_failed"
        ),
    ]


def abay_issuance_sent_twice():
    """One licence is asked for through two routers at the same time."""
    pump = start(read_text("abay"), "bole", "kirkos")
    permit = pump.request_permit(1, "bole", "issuance")
    pump.send_action(1, "bole", service="issuance", permit=permit)
    pump.send_action(2, "kirkos", service="issuance", permit=permit)
    pump.run_until(pump.now_ms + 4_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedDispatchCount(at_ms=end_ms, permit=permit, at_most=1, at_least=1),
        *expect_completed_once((1, 2), end_ms),
    ]


def abay_text_never_reverts():
    """The configuration service serves an old version after its restart."""
    pump = start(SMALL_TEXT, "bole", "bole")
    pump.publish(SMALL_TEXT.replace(b"load_floor = 8", b"load_floor = 6"))
    pump.run_until(pump.now_ms + 7_000)
    active_at_ms = pump.now_ms
    pump.configuration.serve_stale(1)
    pump.run_until(pump.now_ms + 5_000)
    routers = [each.name for each in pump.trace_routers]
    return pump, [
        ExpectedTextVersion(at_ms=at_ms, router=name, version=2)
        for at_ms in (active_at_ms, pump.now_ms)
        for name in routers
    ]


def abay_no_text():
    """A router that has never read a text refuses, and says so."""
    pump = RecordingPump(
        text=SMALL_TEXT, members=build_routers("bole"), random_state=SEED
    )
    pump.configuration.is_down = True
    pump.run_until(2_000)
    pump.send_chat(1, "bole")
    pump.run_until(2_500)
    return pump, [
        ExpectedOutcome(at_ms=2_500, request_id="request-1", outcome="not_run"),
        ExpectedCause(at_ms=2_500, request_id="request-1", code="no_text"),
        ExpectedDispatchCount(at_ms=2_500, request_id="request-1", at_most=0),
    ]


def send_drafts(pump, numbers, interval_ms):
    for n in numbers:
        pump.send_chat(
            n,
            "augsburg" if n % 2 else "kempten",
            service="certificate-drafts",
            dossier=f"dossier-{n % 4}",
        )
        pump.run_until(pump.now_ms + interval_ms)


def abzugsrein_data_centre_out():
    """Operators take a data centre out; technicians keep getting answers."""
    text = read_text("abzugsrein")
    pump = start(text, "augsburg", "kempten")
    send_drafts(pump, range(1, 7), 150)
    outage_text = text.replace(
        b"[data_centre augsburg]\nregion = bavaria\nin_service = yes",
        b"[data_centre augsburg]\nregion = bavaria\nin_service = no",
    )
    assert outage_text != text
    pump.publish(outage_text)
    out_of_service_at_ms = pump.now_ms
    send_drafts(pump, range(7, 31), 250)
    pump.run_until(pump.now_ms + 2_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedNoDispatchTo(
            at_ms=end_ms,
            data_centre="augsburg",
            after_ms=out_of_service_at_ms + STOP_DISPATCH_DELAY_MS,
        ),
        *expect_completed_once(range(1, 31), end_ms),
    ]


def abzugsrein_leaving_server():
    """The host list names a backend server as leaving; its work moves."""
    pump = start(read_text("abzugsrein"), "augsburg", "kempten")
    send_drafts(pump, range(1, 5), 150)
    pump.set_leaving_servers(["10.2.1.1:8000"])
    leaving_at_ms = pump.now_ms + pump.hosts.lag_ms
    send_drafts(pump, range(5, 29), 250)
    pump.run_until(pump.now_ms + 2_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedNoDispatchTo(
            at_ms=end_ms,
            backend_server="engine-1",
            after_ms=leaving_at_ms + STOP_DISPATCH_DELAY_MS,
        ),
        *expect_completed_once(range(1, 29), end_ms),
    ]


def abzugsrein_booking_router_lost():
    """The router that issued a booking's permit ends; the booking runs once."""
    pump = start(read_text("abzugsrein"), "augsburg", "kempten")
    permit = pump.request_permit(1, "augsburg", "booking")
    pump.send_action(1, "augsburg", service="booking", permit=permit)
    pump.run_until(pump.now_ms + 3)
    pump.kill_router(pump.find_router("augsburg").member.address)
    pump.run_until(pump.now_ms + 1_000)
    pump.send_action(2, "kempten", service="booking", permit=permit)
    pump.run_until(pump.now_ms + 6_000)
    end_ms = pump.now_ms
    return pump, [
        ExpectedDispatchCount(at_ms=end_ms, permit=permit, at_most=1),
        ExpectedOutcome(at_ms=end_ms, request_id="request-2", outcome="unknown"),
        ExpectedAnswerCount(at_ms=end_ms, request_id="request-2"),
    ]


def abzugsrein_invoice_once():
    """An invoice is confirmed, and its permit is used again later."""
    pump = start(read_text("abzugsrein"), "augsburg", "kempten")
    permit = pump.request_permit(1, "kempten", "invoice")
    pump.send_action(1, "kempten", service="invoice", permit=permit)
    pump.run_until(pump.now_ms + 1_500)
    pump.send_action(2, "augsburg", service="invoice", permit=permit)
    pump.run_until(pump.now_ms + 2_500)
    end_ms = pump.now_ms
    return pump, [
        ExpectedDispatchCount(at_ms=end_ms, permit=permit, at_most=1, at_least=1),
        *expect_completed_once((1, 2), end_ms),
    ]


SCENARIOS = (
    abay_dossier_returns,
    abay_load_bound,
    abay_cold_start,
    abay_issuance_connection_lost,
    abay_issuance_sent_twice,
    abay_text_never_reverts,
    abay_no_text,
    abzugsrein_data_centre_out,
    abzugsrein_leaving_server,
    abzugsrein_booking_router_lost,
    abzugsrein_invoice_once,
)


def build_trace(title, pump, expectations):
    """Return the lines of inputs and expected outcomes, ordered by time."""
    header = TraceHeader(seed=SEED, routers=tuple(pump.trace_routers), title=title)
    lines = [
        (
            at_ms,
            dump_line(
                {"at_ms": at_ms, "router": name, "message": message_to_map(message)}
            ),
        )
        for at_ms, name, message in pump.entries
    ]
    lines += [
        (each.at_ms, dump_line(expectation_to_map(each))) for each in expectations
    ]
    # The sort is stable, so that expectations follow the inputs of the same time.
    lines.sort(key=lambda line: line[0])
    return [dump_line(header_to_map(header)), *(line for _, line in lines)]


def main():
    FOLDER.mkdir(parents=True, exist_ok=True)
    status = 0
    for scenario in SCENARIOS:
        path = FOLDER / f"{scenario.__name__.replace('_', '-')}.jsonl"
        pump, expectations = scenario()
        path.write_bytes(b"".join(build_trace(scenario.__doc__, pump, expectations)))
        output = io.StringIO()
        status = max(status, replay_files([str(path)], output=output))
        summary = output.getvalue().replace(f"{ROOT}/", "")
        print(f"{path.stat().st_size:>8} B  {summary}", end="")
    return status


if __name__ == "__main__":
    sys.exit(main())
