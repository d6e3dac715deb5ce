"""Kernels and fake engines in virtual time, without network faults."""

import heapq
from collections import defaultdict
from collections.abc import Callable, Sequence
from itertools import count

from attrs import define, field

from damaskrill.admission import OwnerDecider
from damaskrill.base import BaseDecider
from damaskrill.configuration import (
    BackendServerSpec,
    DataCentreSpec,
    FleetText,
    LimitSpec,
    ServiceSpec,
    TeamSpec,
)
from damaskrill.fakes import FakeEngine
from damaskrill.kernel import FleetViewDecider, RouterKernel, load_plugins
from damaskrill.messages import (
    AnswerCaller,
    BackendEnded,
    BackendFailed,
    BackendFirstToken,
    CancelDispatch,
    DispatchAttempt,
    LoadSummary,
    LoggedEvent,
    MeanLoadKnown,
    Member,
    MembersChanged,
    Message,
    Outcome,
    OwnedLoad,
    PeerDelivered,
    ReadLoad,
    Request,
    RequestArrived,
    RequestEnded,
    RouteRequest,
    SendToPeer,
    TextAccepted,
    Tick,
)
from damaskrill.routing import EntryDecider
from damaskrill.utils import check_random_state

__all__ = ["SERVICE", "DispatchRecord", "VirtualFleet", "build_fleet_text"]

SERVICE = "dossier-review"
PEER_DELAY_MS = 1
BACKEND_DELAY_MS = 1
TEXT_DELAY_MS = 500
MAX_REQUEST_BYTES = 100


class RequestForwarder(BaseDecider):
    """Decider that forwards requests to routing and outcomes to callers."""

    handles = (RequestArrived, RequestEnded)

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Forward a message."""
        match message:
            case RequestArrived(request=request):
                return (RouteRequest(request=request),)
            case RequestEnded(request_id=request_id, outcome=outcome):
                return (AnswerCaller(request_id=request_id, outcome=outcome),)
        return ()


class LosslessLoadExchange(BaseDecider):
    """Decider that exchanges load sums between all routers without loss."""

    handles = (OwnedLoad, LoadSummary, MembersChanged)

    def __init__(self, *, own: Member) -> None:
        self._own = own
        self._members: tuple[Member, ...] = ()
        self._sums: dict[tuple[str, str], tuple[int, int]] = {}

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Update the mean load from local sums and those of peers."""
        match message:
            case MembersChanged(members=members):
                self._members = members
            case OwnedLoad():
                summary = LoadSummary(
                    service=message.service,
                    load_sum=message.load_sum,
                    n_servers=message.n_servers,
                )
                mean_load = self._update_mean(self._own, summary)
                peers = [each for each in self._members if each != self._own]
                sent = [SendToPeer(address=e.address, payload=summary) for e in peers]
                return (mean_load, *sent)
            case PeerDelivered(sender=sender, payload=LoadSummary() as summary):
                return (self._update_mean(sender, summary),)
        return ()

    def _update_mean(self, member: Member, summary: LoadSummary) -> MeanLoadKnown:
        sums = self._sums
        sums[summary.service, member.address] = (summary.load_sum, summary.n_servers)
        service_sums = [
            value for key, value in sums.items() if key[0] == summary.service
        ]
        return MeanLoadKnown(
            service=summary.service,
            load_sum=sum(each[0] for each in service_sums),
            n_servers=sum(each[1] for each in service_sums),
        )


def build_fleet_text(
    *,
    n_servers: int,
    centres: Sequence[str],
    version: int = 1,
    out_of_service: Sequence[str] = (),
    missing: Sequence[str] = (),
    bearable_load: int = 16,
    cold_load: int = 2,
    teams: Sequence[TeamSpec] = (),
    **limits: int,
) -> FleetText:
    """Return a text with one service whose servers are spread over data centres.

    Data centres in ``out_of_service`` are listed as out of service; servers in
    ``missing`` are left out.
    """
    servers = [
        BackendServerSpec(
            name=f"engine-{n}",
            service=SERVICE,
            address=f"10.1.{n // 250}.{n % 250}:8000",
            data_centre=centres[n % len(centres)],
            bearable_load=bearable_load,
            cold_load=cold_load,
        )
        for n in range(n_servers)
    ]
    return FleetText(
        version=version,
        services={SERVICE: ServiceSpec(name=SERVICE)},
        backend_servers={e.name: e for e in servers if e.name not in missing},
        data_centres={
            name: DataCentreSpec(name=name, in_service=name not in out_of_service)
            for name in centres
        },
        teams={team.name: team for team in teams},
        limits=LimitSpec(**limits),
    )


@define(kw_only=True)
class DispatchRecord:
    """Dispatch with the exact loads of the engines at that time."""

    at_ms: int
    attempt: DispatchAttempt
    router: str
    load: int
    mean_load: float


@define(kw_only=True, slots=False)
class VirtualFleet:
    """Routers and engines in virtual time.

    Parameters
    ----------
    text : FleetText
        Initial text.
    members : sequence of Member
        Routers.
    random_state : int
        Seed.
    placement : str
        Name of a registered placement policy.
    tick_ms, report_interval_ms : int
        Intervals between ticks and between load reports, in milliseconds.
    engine_parameters : dict
        Parameters of all engines.
    """

    text: FleetText
    members: Sequence[Member]
    random_state: int = 0
    placement: str = "affinity"
    tick_ms: int = 100
    report_interval_ms: int = 500
    engine_parameters: dict[str, int] = field(factory=dict)
    now_ms: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        load_plugins()
        self._random = check_random_state(self.random_state)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self.engines: dict[str, FakeEngine] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.logged: list[tuple[int, LoggedEvent]] = []
        self.dispatches: list[DispatchRecord] = []
        self.effects: list[tuple[int, str, Message]] | None = None
        self.n_output_tokens: dict[str, int] = {}
        self.arrived_at_ms: dict[str, int] = {}
        self.failing: set[str] = set()
        self.n_messages: dict[str, int] = defaultdict(int)
        self._runs: dict[str, tuple[str, str]] = {}
        self.kernels = {each.address: self._build_kernel(each) for each in self.members}
        for address in self.kernels:
            n_members = len(self.members)
            self.decide(
                address,
                MembersChanged(
                    members=tuple(self.members),
                    n_listed=n_members,
                    n_reachable=n_members,
                ),
            )
            self._tick(address)
        self._apply_text(self.text)

    def _build_kernel(self, own: Member) -> RouterKernel:
        seed = self._random.getrandbits(32)
        deciders = [
            FleetViewDecider(own=own),
            LosslessLoadExchange(own=own),
            RequestForwarder(),
            OwnerDecider(own=own, random_state=seed),
            EntryDecider(own=own, random_state=seed, placement=self.placement),
        ]
        return RouterKernel(own=own, deciders=deciders)

    # Time

    def at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def run_until(self, end_ms: int) -> None:
        """Advance the virtual clock and run all events that are due."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.at(self.now_ms + delay_ms, action)

    def _tick(self, address: str) -> None:
        self.decide(address, Tick())
        self._after(self.tick_ms, lambda: self._tick(address))

    # Inputs

    def publish(self, text: FleetText) -> None:
        """Apply a text at all routers after ``TEXT_DELAY_MS``."""
        self._after(TEXT_DELAY_MS, lambda: self._apply_text(text))

    def _apply_text(self, text: FleetText) -> None:
        self.text = text
        for spec in text.backend_servers.values():
            if spec.name not in self.engines:
                self.engines[spec.name] = FakeEngine(
                    name=spec.name,
                    random_state=self._random.getrandbits(32),
                    bearable_load=spec.bearable_load,
                    **{"cold_load": spec.cold_load, **self.engine_parameters},
                )
                self._send_report(spec.name)
        for address in self.kernels:
            self.decide(address, TextAccepted(text=text))

    def send(self, at_ms: int, request: Request, n_output_tokens: int) -> None:
        """Schedule the arrival of a request at a random router."""
        address = self._random.choice(list(self.kernels))
        self.n_output_tokens[request.request_id] = n_output_tokens
        self.arrived_at_ms[request.request_id] = at_ms
        self.at(at_ms, lambda: self.decide(address, RequestArrived(request=request)))

    def restart_engine(self, name: str) -> None:
        """Restart an engine abruptly; its connections are reset."""
        lost = self.engines[name].restart(self.now_ms)
        self._reset_connections([run.run_id for run in lost])

    # Effects

    def decide(self, address: str, message: Message) -> None:
        """Deliver a message to a router and execute its effects."""
        for effect in self.kernels[address].decide(message, self.now_ms):
            if self.effects is not None:
                self.effects.append((self.now_ms, address, effect))
            self._execute_effect(address, effect)

    def _execute_effect(self, address: str, effect: Message) -> None:
        match effect:
            case SendToPeer(address=target, payload=payload):
                self.n_messages[type(payload).__name__] += 1
                delivered = PeerDelivered(
                    sender=self.kernels[address].own, payload=payload
                )
                self._after(PEER_DELAY_MS, lambda: self.decide(target, delivered))
            case DispatchAttempt():
                self._after(
                    BACKEND_DELAY_MS, lambda: self._begin_attempt(address, effect)
                )
            case CancelDispatch(attempt_id=attempt_id):
                name, _ = self._runs.get(attempt_id, ("", ""))
                if name:
                    self.engines[name].cancel(attempt_id, self.now_ms)
            case AnswerCaller(request_id=request_id, outcome=outcome):
                self.outcomes[request_id] = outcome
            case LoggedEvent():
                self.logged.append((self.now_ms, effect))
            case ReadLoad():
                pass

    def _send_report(self, name: str) -> None:
        engine = self.engines[name]
        reported = engine.report(self.now_ms)
        events = engine.published_events(self.now_ms)
        for address in self.kernels:
            self.decide(address, reported)
            for each in events:
                self.decide(address, each)
        self._after(self.report_interval_ms, lambda: self._send_report(name))

    def _begin_attempt(self, address: str, attempt: DispatchAttempt) -> None:
        name = attempt.backend_server
        engine = self.engines[name]
        present = [e for n, e in self.engines.items() if n in self.text.backend_servers]
        self.dispatches.append(
            DispatchRecord(
                at_ms=self.now_ms,
                attempt=attempt,
                router=address,
                load=engine.load + 1,
                mean_load=sum(e.load for e in present) / max(1, len(present)),
            )
        )
        if name in self.failing:
            failed = BackendFailed(
                attempt_id=attempt.attempt_id,
                n_bytes_sent=MAX_REQUEST_BYTES,
                reason="the server closed the connection",
            )
            self._after(BACKEND_DELAY_MS, lambda: self.decide(address, failed))
            return
        lost = [run.run_id for run in engine.running]
        self._runs[attempt.attempt_id] = (name, address)
        request = attempt.request
        run = engine.begin(
            run_id=attempt.attempt_id,
            prefix_blocks=request.prefix_blocks,
            n_prompt_tokens=request.n_prompt_tokens,
            n_output_tokens=self.n_output_tokens.get(request.request_id, 64),
            now_ms=self.now_ms,
        )
        if run is None:
            self._reset_connections([*lost, attempt.attempt_id])
            return
        latency_ms = run.first_token_at_ms - self.now_ms
        first = BackendFirstToken(attempt_id=run.run_id, latency_ms=latency_ms)
        self._after(latency_ms, lambda: self._deliver_first_token(run.run_id, first))
        self.at(run.ends_at_ms, lambda: self._end_run(run.run_id))

    def _deliver_first_token(self, run_id: str, first: BackendFirstToken) -> None:
        if run_id in self._runs:
            self.decide(self._runs[run_id][1], first)

    def _end_run(self, run_id: str) -> None:
        name, address = self._runs.pop(run_id, ("", ""))
        if not name or not self.engines[name].finish(run_id, self.now_ms):
            return
        ended = BackendEnded(attempt_id=run_id, n_bytes=100, digest=run_id)
        self.decide(address, ended)

    def _reset_connections(self, run_ids: Sequence[str]) -> None:
        for run_id in run_ids:
            _, address = self._runs.pop(run_id, ("", ""))
            if address:
                failed = BackendFailed(
                    attempt_id=run_id,
                    n_bytes_sent=MAX_REQUEST_BYTES,
                    reason="the connection was reset",
                    connection_reset=True,
                )
                self.decide(address, failed)
