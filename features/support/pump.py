"""Message pump: real kernels, fakes and a virtual clock in one process.

Depending on the seed and the active faults, messages between kernels are delayed,
reordered, duplicated or lost. The pump itself makes no decisions.
"""

import heapq
from collections import defaultdict
from itertools import count

from attrs import define, field

from damaskrill.configuration._text import parse_text
from damaskrill.fakes import (
    FakeConfigurationService,
    FakeEngine,
    FakeHostList,
    FakePlainService,
)
from damaskrill.kernel import build_kernel
from damaskrill.membership import owner_of_server
from damaskrill.messages import (
    AnswerCaller,
    BackendEnded,
    BackendFailed,
    BackendFirstToken,
    CancelDispatch,
    DispatchAttempt,
    HostEntry,
    Member,
    PeerDelivered,
    PeerLost,
    PeerUnreachable,
    PermitIssued,
    ReadHostList,
    ReadText,
    SendToPeer,
    StopRequested,
    StopServing,
    TextReadFailed,
    Tick,
)
from damaskrill.utils import check_random_state

TICK_MS = 100
PEER_DELAY_MS = (1, 5)
LONG_DELAY_MS = (200, 1_500)
DELAYED_PERMILLE = 10
DUPLICATED_PERMILLE = 5
LOST_PERMILLE = 2
CONNECTION_SILENCE_MS = 3_000
CONNECT_REFUSED_MS = 5
PROGRESS_TIMEOUT_MS = 5_000
REPORT_INTERVAL_MS = 500
HOST_LIST_INTERVAL_MS = 1_000
PLAIN_RUN_MS = (20, 200)
N_OUTPUT_TOKENS = (10, 60)
ANSWER_BYTES_PER_TOKEN = 4


@define(kw_only=True)
class RouterProcess:
    """One router process and its externally visible state."""

    member: Member
    kernel: object
    alive: bool = True
    paused_until_ms: int = 0
    has_stopped: bool = False
    stop_requested_at_ms: int = -1
    held_messages: list = field(factory=list)
    versions: list = field(factory=list)

    @property
    def view(self):
        return self.kernel.deciders[0].view


@define(kw_only=True)
class SentRequest:
    """A caller's request with its outcomes."""

    request: object
    router: RouterProcess
    sent_at_ms: int
    outcomes: list = field(factory=list)
    answered_at_ms: int = -1


@define(kw_only=True)
class Dispatch:
    """A dispatch that reached a backend server's address."""

    attempt: DispatchAttempt
    router: RouterProcess
    at_ms: int
    text_version: int
    ended: bool = False


@define(kw_only=True, slots=False)
class Pump:
    """A small fleet under test.

    Parameters
    ----------
    text : bytes
        Initial operators' text.
    members : list of Member
        Routers at the start.
    random_state : int
        Seed.
    """

    text: bytes
    members: list
    random_state: int = 0
    fake_parameters: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.random = check_random_state(self.random_state)
        self.now_ms = 0
        self._queue = []
        self._event_numbers = count()
        self.routers = {}
        self.former_routers = []
        self.cut_routers = set()
        self.cut_servers = set()
        self.silent_links = set()
        self.list_lag_by_router = defaultdict(int)
        self.requests = {}
        self.permits = {}
        self.dispatches = []
        self.messages_between = defaultdict(int)
        self.logged = []
        self.loads = defaultdict(list)
        self.configuration = FakeConfigurationService()
        self.published = []
        self.hosts = FakeHostList()
        self.engines = {}
        self.plain_services = {}
        self._dispatch_of_run = {}
        self._cancelled = set()
        self.publish(self.text)
        for member in self.members:
            self.start_router(member)
        self._update_host_list()
        self._every(HOST_LIST_INTERVAL_MS, self._serve_host_lists, start_ms=0)
        self._every(REPORT_INTERVAL_MS, self._report_loads, start_ms=50)

    # Time

    def at(self, at_ms, action):
        """Schedule an action at a time."""
        heapq.heappush(self._queue, (at_ms, next(self._event_numbers), action))

    def after(self, delay_ms, action):
        """Schedule an action after a delay."""
        self.at(self.now_ms + delay_ms, action)

    def run_until(self, end_ms):
        """Run all actions that are due until ``end_ms``."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def _every(self, interval_ms, action, *, start_ms):
        def run_and_reschedule():
            action()
            self.after(interval_ms, run_and_reschedule)

        self.at(start_ms, run_and_reschedule)

    # The platform

    def publish(self, content):
        """Publish an operators' text and return its version."""
        version = self.configuration.publish(content)
        parsed = parse_text(content, version=version)
        self.published.append((self.now_ms, parsed))
        for server in parsed.backend_servers.values():
            self._add_server(server, parsed.services[server.service])
        return version

    def _add_server(self, server, service):
        if server.name in self.engines:
            return
        self.engines[server.name] = FakeEngine(
            name=server.name,
            random_state=self.random.getrandbits(32),
            bearable_load=server.bearable_load,
            cold_load=server.cold_load,
            **self.fake_parameters,
        )
        if not service.repeatable:
            checks = service.fencing_check.value == "fenced"
            self.plain_services[server.name] = FakePlainService(
                name=server.name, checks_fencing=checks
            )

    @property
    def latest_text(self):
        return self.published[-1][1]

    def set_leaving_servers(self, addresses):
        """Mark backend servers as leaving on the host list."""
        self._leaving_servers = tuple(addresses)
        self._update_host_list()

    _leaving_servers = ()

    def _update_host_list(self):
        lines = [
            HostEntry(
                address=router.member.address,
                data_centre=router.member.data_centre,
                leaving=router.stop_requested_at_ms >= 0,
            )
            for router in self.routers.values()
            if router.alive
        ]
        lines += [
            HostEntry(
                address=server.address,
                data_centre=server.data_centre,
                role=server.service,
                leaving=server.address in self._leaving_servers,
            )
            for server in self.latest_text.backend_servers.values()
        ]
        self.hosts.set_hosts(tuple(lines), self.now_ms)

    def _serve_host_lists(self):
        for router in list(self.routers.values()):
            lag_ms = self.list_lag_by_router[router.member.address]
            self.deliver(router, self.hosts.read(max(0, self.now_ms - lag_ms)))

    def _report_loads(self):
        for router in list(self.routers.values()):
            if not router.alive or router.has_stopped or not router.view.members:
                continue
            for server in list(router.view.text.backend_servers.values()):
                owner = owner_of_server(server, router.view.members)
                is_cut = (router.member.address, server.name) in self.cut_servers
                if owner.address == router.member.address and not is_cut:
                    engine = self.engines[server.name]
                    self.deliver(router, engine.report(self.now_ms))

    # Routers

    def start_router(self, member):
        """Start a router process, on a new address or as a successor on a used one."""
        previous = self.routers.get(member.address)
        if previous is not None:
            self.former_routers.append(previous)
        router = RouterProcess(member=member, kernel=self._build_kernel(member))
        self.routers[member.address] = router
        self._update_host_list()
        self.deliver(router, self.hosts.read(self.now_ms))
        self._tick(router)
        return router

    def _build_kernel(self, member):
        return build_kernel(own=member, random_state=self.random.getrandbits(32))

    def kill_router(self, address):
        """Kill a process; its peers observe connection resets."""
        router = self.routers[address]
        router.alive = False
        self._update_host_list()
        for other in self.live_routers:
            if not self._is_cut(address, other.member.address):
                self._deliver_later(other, PeerLost(peer=router.member))
        for dispatch in self.dispatches:
            if dispatch.router is router and not dispatch.ended:
                self._cancel_run(dispatch)

    def pause_router(self, address, duration_ms):
        """Pause a process; its messages are delivered when it resumes."""
        router = self.routers[address]
        router.paused_until_ms = self.now_ms + duration_ms
        self.after(duration_ms, lambda: self._resume(router))

    def _resume(self, router):
        held_messages, router.held_messages = router.held_messages, []
        for message in held_messages:
            self.deliver(router, message)

    def stop_router(self, address):
        """Request a graceful stop of a process."""
        router = self.routers[address]
        router.stop_requested_at_ms = self.now_ms
        self.deliver(router, StopRequested())

    @property
    def live_routers(self):
        return [
            each
            for each in self.routers.values()
            if each.alive and not each.has_stopped
        ]

    def _tick(self, router):
        if not router.alive or router.has_stopped:
            return
        if self.now_ms >= router.paused_until_ms:
            self.deliver(router, Tick())
        self.after(TICK_MS, lambda: self._tick(router))

    def deliver(self, router, message):
        """Deliver a message to a kernel and carry out its effects."""
        if not router.alive or router.has_stopped:
            return
        if self.now_ms < router.paused_until_ms:
            router.held_messages.append(message)
            return
        for effect in router.kernel.decide(message, self.now_ms):
            self._carry_out(router, effect)
        version = router.view.text.version
        if not router.versions or router.versions[-1] != version:
            router.versions.append(version)

    def _deliver_later(self, router, message, delay_ms=CONNECT_REFUSED_MS):
        self.after(delay_ms, lambda: self.deliver(router, message))

    def _carry_out(self, router, effect):
        match effect:
            case SendToPeer():
                self._send(router, effect)
            case DispatchAttempt():
                delay_ms = self.random.randint(*PEER_DELAY_MS)
                version = router.view.text.version
                self.after(delay_ms, lambda: self._begin(router, effect, version))
            case CancelDispatch(attempt_id=attempt_id):
                self._cancelled.add(attempt_id)
                for dispatch in self.dispatches:
                    if dispatch.attempt.attempt_id == attempt_id:
                        self._cancel_run(dispatch)
            case AnswerCaller(request_id=request_id, outcome=outcome):
                sent = self.requests.get(request_id)
                if sent is not None and sent.router is router:
                    sent.outcomes.append(outcome)
                    sent.answered_at_ms = self.now_ms
            case PermitIssued(request_id=request_id, permit=permit):
                self.permits[request_id] = permit
            case ReadText():
                self.after(3, lambda: self._read_text(router, effect))
            case ReadHostList():
                self._deliver_later(router, self.hosts.read(self.now_ms))
            case StopServing():
                router.has_stopped = True
                self._update_host_list()
            case _:
                self.logged.append((self.now_ms, router.member.address, effect))

    def _read_text(self, router, effect):
        read = self.configuration.read()
        if read is not None and read.version > effect.after_version:
            self.deliver(router, read)
        elif read is not None and effect.wait_ms > 0:
            next_read = ReadText(
                after_version=effect.after_version,
                wait_ms=max(0, effect.wait_ms - TICK_MS),
            )
            self.configuration.n_calls -= 1
            self.after(TICK_MS, lambda: self._read_text(router, next_read))
        else:
            reason = "no answer" if read is None else "nothing new"
            self.deliver(router, TextReadFailed(reason=reason))

    # Links between routers

    def partition(self, addresses):
        """Partition these routers from all others."""
        inside = set(addresses)
        for a in self.routers:
            for b in self.routers:
                if (a in inside) != (b in inside):
                    self.cut_routers.add(frozenset((a, b)))

    def heal(self):
        """End all partitions and silent links."""
        self.cut_routers.clear()
        self.cut_servers.clear()
        self.silent_links.clear()

    def silence_link(self, a, b):
        """Silence the connection of two routers until its timeout, which resets it."""
        link = frozenset((a, b))
        self.silent_links.add(link)

        def replace():
            self.silent_links.discard(link)
            self._reset_link(a, b)

        self.after(CONNECTION_SILENCE_MS, replace)

    def _reset_link(self, a, b):
        for address, peer in ((a, b), (b, a)):
            self.deliver(
                self.routers[address], PeerLost(peer=self.routers[peer].member)
            )

    def _is_cut(self, a, b):
        link = frozenset((a, b))
        return link in self.cut_routers or link in self.silent_links

    def _send(self, sender, effect):
        target = self.routers.get(effect.address)
        unreachable = PeerUnreachable(address=effect.address, payload=effect.payload)
        self.messages_between[type(effect.payload).__name__] += 1
        if target is None or not target.alive or target.has_stopped:
            self._deliver_later(sender, unreachable)
            return
        if effect.incarnation and effect.incarnation != target.member.incarnation:
            self._deliver_later(sender, unreachable)
            return
        if self._is_cut(sender.member.address, effect.address):
            lost = PeerLost(peer=target.member)
            self._deliver_later(sender, lost, CONNECTION_SILENCE_MS)
            return
        chance = self.random.randrange(1_000)
        if chance < LOST_PERMILLE:
            # A transport detects a lost message only by the loss of its connection.
            a, b = sender.member.address, effect.address
            self.after(CONNECTION_SILENCE_MS, lambda: self._reset_link(a, b))
            return
        delay_ms = self.random.randint(*PEER_DELAY_MS)
        if chance >= 1_000 - DELAYED_PERMILLE:
            delay_ms = self.random.randint(*LONG_DELAY_MS)
        self._schedule_delivery(sender, target, effect.payload, delay_ms)
        if self.random.randrange(1_000) < DUPLICATED_PERMILLE:
            self._schedule_delivery(sender, target, effect.payload, delay_ms + 7)

    def _schedule_delivery(self, sender, target, payload, delay_ms):
        message = PeerDelivered(sender=sender.member, payload=payload)
        self.after(delay_ms, lambda: self.deliver(target, message))

    # Backend servers

    def _begin(self, router, attempt, text_version):
        if attempt.attempt_id in self._cancelled:
            return
        engine = self.engines[attempt.backend_server]
        if (router.member.address, engine.name) in self.cut_servers:
            failed = BackendFailed(
                attempt_id=attempt.attempt_id, reason="no connection", n_bytes_sent=0
            )
            self._deliver_later(router, failed, 1_000)
            return
        dispatch = Dispatch(
            attempt=attempt,
            router=router,
            at_ms=self.now_ms,
            text_version=text_version,
        )
        self.dispatches.append(dispatch)
        if not self._run_action(dispatch):
            return
        lost = engine.running
        run = engine.begin(
            run_id=attempt.attempt_id,
            prefix_blocks=attempt.request.prefix_blocks,
            n_prompt_tokens=attempt.request.n_prompt_tokens,
            n_output_tokens=self.random.randint(*N_OUTPUT_TOKENS),
            now_ms=self.now_ms,
        )
        self._dispatch_of_run[attempt.attempt_id] = dispatch
        if run is None:
            self._reset_runs([each.run_id for each in lost] + [attempt.attempt_id])
            return
        self._record_load(engine)
        self._deliver_later(
            router,
            BackendFirstToken(
                attempt_id=attempt.attempt_id,
                latency_ms=run.first_token_at_ms - self.now_ms,
            ),
            run.first_token_at_ms - self.now_ms,
        )
        self.at(run.ends_at_ms, lambda: self._end_run(dispatch))

    def _run_action(self, dispatch):
        attempt = dispatch.attempt
        plain = self.plain_services.get(attempt.backend_server)
        if plain is None:
            return True
        key = attempt.request.idempotency_key or attempt.request.permit
        if plain.run(key=key, fencing_number=attempt.fencing_number):
            return True
        refused = BackendFailed(
            attempt_id=attempt.attempt_id,
            n_bytes_sent=100,
            refused_by_server=True,
            reason="old fencing number",
        )
        self._deliver_later(dispatch.router, refused)
        return False

    def _end_run(self, dispatch):
        attempt = dispatch.attempt
        engine = self.engines[attempt.backend_server]
        if dispatch.ended or not engine.finish(attempt.attempt_id, self.now_ms):
            return
        dispatch.ended = True
        self._record_load(engine)
        if (dispatch.router.member.address, engine.name) in self.cut_servers:
            failed = BackendFailed(
                attempt_id=attempt.attempt_id,
                n_bytes_sent=100,
                reason="no progress",
            )
            self._deliver_later(dispatch.router, failed, PROGRESS_TIMEOUT_MS)
            return
        ended = BackendEnded(
            attempt_id=attempt.attempt_id,
            n_bytes=expected_length(attempt.request) - attempt.resume_offset,
            digest=expected_digest(attempt.request),
        )
        self.deliver(dispatch.router, ended)

    def restart_server(self, name):
        """Restart the process of a backend server, cold and without notice."""
        engine = self.engines[name]
        lost = engine.restart(self.now_ms)
        self._record_load(engine)
        self._reset_runs([each.run_id for each in lost])

    def _reset_runs(self, run_ids):
        for run_id in run_ids:
            dispatch = self._dispatch_of_run[run_id]
            if dispatch.ended:
                continue
            dispatch.ended = True
            failed = BackendFailed(
                attempt_id=run_id,
                n_bytes_sent=100,
                reason="the connection was reset",
                connection_reset=True,
            )
            self._deliver_later(dispatch.router, failed, 2)

    def _cancel_run(self, dispatch):
        engine = self.engines[dispatch.attempt.backend_server]
        dispatch.ended = True
        engine.cancel(dispatch.attempt.attempt_id, self.now_ms)
        self._record_load(engine)

    def _record_load(self, engine):
        self.loads[engine.name].append((self.now_ms, engine.load))

    # Callers

    def send_request(self, router, message, request):
        """Send a caller's request to a router."""
        self.requests[request.request_id] = SentRequest(
            request=request, router=router, sent_at_ms=self.now_ms
        )
        self.deliver(router, message)


def expected_length(request):
    """Return the length of the complete answer to a request."""
    return 40 + len(request.request_id) * ANSWER_BYTES_PER_TOKEN


def expected_digest(request):
    """Return the digest that only the answer to this request has."""
    return (
        f"answer-to-{request.idempotency_key or request.permit or request.request_id}"
    )
