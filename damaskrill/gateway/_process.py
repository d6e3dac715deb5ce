"""Gateway process: builds and connects the components and stops them in order."""

import asyncio
import secrets
import signal
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from attrs import evolve
from twisted.internet.error import CannotListenError

from damaskrill.catalog import CallerLimits, Catalog
from damaskrill.eventlog import DecisionLog
from damaskrill.exceptions import DamaskrillError
from damaskrill.feed import (
    Change,
    Contact,
    FeedReader,
    FeedReplica,
    Freshness,
    ListedChanges,
)
from damaskrill.gateway._binding import PlatformBinding
from damaskrill.gateway._cache_reader import CacheReader
from damaskrill.gateway._cached_origins import CachedOrigins
from damaskrill.gateway._change_applier import ChangeApplier
from damaskrill.gateway._dispatcher import RequestDispatcher
from damaskrill.gateway._incarnation_checks import IncarnationChecks
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.gateway._peer_relay import PeerRelay
from damaskrill.gateway._return_checks import ReturnChecks
from damaskrill.gateway._server_history import read_server_history
from damaskrill.gateway._server_throttle import ServerThrottle
from damaskrill.gateway._settings import Address, GatewaySettings
from damaskrill.gateway._slots import SlotScheduling
from damaskrill.gateway._stream_versions import StreamVersions
from damaskrill.http1 import (
    CallerConnection,
    CallerConnectionFactory,
    CallerRequest,
    ServerPool,
)
from damaskrill.limits import LEAST_BOUNDS, CallerGuard, HostBounds
from damaskrill.mesh import (
    ASSIGNS_SLOTS,
    NO_SLOTS,
    Departure,
    FeedUpdate,
    MemberEntry,
    MemberTable,
    Mesh,
    Message,
    ReaderRole,
    ReportExchange,
    SlotBatch,
)
from damaskrill.steering import (
    BrittleServices,
    CrashDetector,
    FailureDetector,
    FleetRateLimiter,
    FleetRetryBudget,
    FleetSize,
    HotKeys,
    PrefixIndex,
    ReturningServers,
    ServerLoads,
    ServerPath,
    StatedLimits,
    short_id,
)
from damaskrill.utils import monotonic_now_ms, rank_by_rendezvous

__all__ = ["GatewayProcess"]

# Connections waiting to be accepted; more than all callers of a host open at a time.
LISTEN_BACKLOG = 512
# Interval at which time-dependent state is updated; far below the bounds on it.
MAINTENANCE_INTERVAL_MS = 250
# The balancer needs two failed readiness checks, a second apart, before it sends no
# new connections; idle connections are closed after that.
CLOSE_IDLE_AFTER_MS = 2_600
# Time reserved for sending the last bytes and for the exit of the process before it is
# killed; a slow host needs some hundred milliseconds for the exit.
STOP_MARGIN_MS = 900
# The same as a fraction of a short grace period.
STOP_MARGIN_FRACTION = 0.1125
# Interval at which a stopping process checks whether all connections are closed.
STOP_POLL_MS = 50
METRICS_PATH = b"/metrics"
# Suspension of the host after which the router reads its state again: longer than the
# clocks' rounding, shorter than any time in which a change must take effect.
MIN_PAUSE_MS = 200
# Bits of the number by which a router knows requests of its peers.
HOP_PROOF_BITS = 62
MS_PER_S = 1_000
NS_PER_MS = 1_000_000


class GatewayProcess:
    """Router whose tasks run on the current event loop.

    Parameters
    ----------
    settings : GatewaySettings
        Addresses and limits.
    binding : PlatformBinding
        Adapter to the platform.
    reactor : object
        Twisted's reactor, which runs on the asyncio event loop.
    log : DecisionLog
        Log of decisions.
    reread_settings : callable
        Reads the settings again; raises an error if they are invalid.
    random_state : int, default=None
        Seed of the random number generator; random if None.
    listeners : mapping, default=None
        Listening sockets that are already open, by address.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        binding: PlatformBinding,
        reactor: Any,
        log: DecisionLog,
        reread_settings: Callable[[], GatewaySettings],
        random_state: int | None = None,
        listeners: Mapping[Address, socket.socket] | None = None,
    ) -> None:
        self._listeners = dict(listeners or {})
        self._settings = settings
        self._binding = binding
        self._reactor = reactor
        self._log = log
        self._reread_settings = reread_settings
        self._random = Random(random_state)
        self._metrics = GatewayMetrics()
        self._is_stopping = False
        self._suspended_ms = _suspended_ms()
        self._stop_requested = asyncio.Event()
        self._stop_signalled_ms: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._ports: list[Any] = []
        self._build_components()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new connections."""
        return self._catalog.is_complete and not self._is_stopping

    async def run(self, received: Mapping[int, float] | None = None) -> None:
        """Serve until SIGTERM, then stop gracefully.

        Parameters
        ----------
        received : mapping of int to float, default=None
            Signals that arrived before this router could handle them, and when, on the
            monotonic clock in milliseconds.

        Notes
        -----
        The platform counts the grace period from the signal, however busy the event
        loop is or however long the start takes.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # The loop still learns of the signal, by its wakeup descriptor.
        signal.signal(signal.SIGTERM, self._record_stop_signal)
        signal.siginterrupt(signal.SIGTERM, False)
        self.start()
        if received and signal.SIGHUP in received:
            self.reload()
        if received and signal.SIGTERM in received:
            self._stop_signalled_ms = received[signal.SIGTERM]
            self._stop_requested.set()
        await self._stop_requested.wait()
        await self.stop()

    def _record_stop_signal(self, number: int, frame: object) -> None:
        if self._stop_signalled_ms is None:
            self._stop_signalled_ms = monotonic_now_ms()

    def start(self) -> None:
        """Open the sockets and start the tasks."""
        loop = asyncio.get_running_loop()
        self._listen(loop)
        for work in (self._reader.run(), self._mesh.run(), self._run_maintenance()):
            task = loop.create_task(work)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)
        self._log.write("process_started", data_centre=self._settings.data_centre)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        # Without this task the router would work on stale state; the platform restarts
        # a process that has exited.
        sentence = f"{type(error).__name__}: {error}"[:300]
        self._log.warn("task_failed", sentence=sentence)
        self._stop_requested.set()

    def reload(self) -> None:
        """Read the settings again; keep the active ones if the new ones are invalid."""
        try:
            self._settings = self._reread_settings()
        except DamaskrillError as error:
            self._log.warn("settings_refused", code=error.code, sentence=error.sentence)
            return
        self._log.write("settings_reloaded")

    def _build_components(self) -> None:
        settings = self._settings
        now_ms = monotonic_now_ms()
        own = MemberEntry(
            _format(settings.peer_address),
            time.time_ns() // 1_000_000,
            settings.data_centre,
            1,
            settings.caller_address[1],
            keeps_grants=True,
            tells_all=True,
            hop_proof=1 + secrets.randbits(HOP_PROOF_BITS),
            slots=ASSIGNS_SLOTS if settings.schedules_slots else NO_SLOTS,
            records_sent=True,
        )
        self._guard = CallerGuard(
            loop=asyncio.get_event_loop(),
            report=self._log.write,
            bounds=HostBounds(
                memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
            ),
        )
        self._catalog = Catalog(report=self._log.write)
        self._applier = ChangeApplier(
            catalog=self._catalog, decode=self._binding.decode_item, log=self._log
        )
        self._replica = FeedReplica(is_retained=self._binding.is_operator_item)
        self._freshness = Freshness(
            leaving_limit_ms=settings.leaving_limit_ms,
            origin=short_id(own.address),
            first_number=own.incarnation,
        )
        self._members = MemberTable(own=own)
        self._reader_role = ReaderRole(
            members=self._members, freshness=self._freshness, replica=self._replica
        )
        self._is_reading = False
        self._loads = ServerLoads()
        self._hot_keys = HotKeys()
        self._prefix_index = PrefixIndex()
        self._failures = FailureDetector(
            router=own.address,
            data_centre=own.data_centre,
            first_number=own.incarnation,
        )
        self._crashes = CrashDetector(router=own.address, first_number=own.incarnation)
        self._limits = StatedLimits()
        self._brittle = BrittleServices(StatedLimits())
        pool = ServerPool(reactor=self._reactor, may_keep=self._catalog.is_usable)
        self._streams = StreamVersions(
            catalog=self._catalog,
            own_address=own.address,
            rank_keepers=self._members.rank_keepers,
            find_told=self._members.find_told,
            find_told_since=lambda key: self._mesh.find_told_since(key),
            do_all_record_sent=self._members.do_all_record_sent,
            send=lambda address, message: self._mesh.send_message(address, message),
            read_history=lambda: read_server_history(
                binding=self._binding,
                replica=self._replica,
                history_ms=settings.store_history_ms,
                log=self._log,
            ),
            is_store_current=self._is_store_current,
            cached=CachedOrigins(
                catalog=self._catalog,
                reader=CacheReader(
                    reactor=self._reactor,
                    pool=pool,
                    binding=self._binding,
                    may_ask=lambda server: self._dispatcher.may_ask(server),
                    n_routers=lambda: self._members.n_members,
                    log=self._log,
                ),
                log=self._log,
            ),
        )
        self._incarnations = IncarnationChecks(
            reactor=self._reactor,
            pool=pool,
            binding=self._binding,
            catalog=self._catalog,
            may_ask=lambda server: self._dispatcher.may_ask(server),
            is_store_current=self._is_store_current,
            n_routers=lambda: self._members.n_members,
            record_successor=self._streams.record_successor,
            log=self._log,
        )
        self._reports = ReportExchange(
            members=self._members,
            loads=self._loads,
            hot_keys=self._hot_keys,
            prefix_index=self._prefix_index,
            failures=self._failures,
            crashes=self._crashes,
            limits=self._limits,
            brittle=self._brittle.statements,
            apply_failures=lambda servers: self._dispatcher.apply_failures(servers),
            apply_departure=self._apply_departure,
            apply_crashes=lambda: self._dispatcher.crashes.log_changes(),
            apply_answers=lambda answers: self._relay.record_peer_answers(answers),
            apply_limits=lambda limits: self._dispatcher.throttle.log_reported(limits),
            report=self._log.write,
        )
        self._mesh = Mesh(
            members=self._members,
            replica=self._replica,
            freshness=self._freshness,
            listen=settings.peer_address,
            seeds=tuple(_format(each) for each in settings.seed_addresses),
            apply_feed=self._apply_feed,
            record_contact=self._record_contact,
            reports=self._reports,
            needs_fresh_loads=lambda: self._catalog.has_major_capacity_loss,
            handle_message=self._handle_message,
            handle_link=self._streams.greet,
            handle_difference=self._handle_difference,
            report=self._log.write,
        )
        self._slots = SlotScheduling(
            members=self._members,
            catalog=self._catalog,
            loads=self._loads,
            send=self._mesh.send_message,
            may_schedule=lambda server: self._dispatcher.may_schedule(server),
            log=self._log,
            metrics=self._metrics.slots,
        )
        self._reader = FeedReader(
            client=self._binding.store,
            replica=self._replica,
            should_read=self._should_read,
            on_changes=self._apply_read,
            report=self._log.warn,
            random_state=self._random,
            leaving_limit_ms=settings.leaving_limit_ms,
        )
        self._fleet_size = FleetSize(
            own_address=own.address,
            seeds=[_format(each) for each in settings.seed_addresses],
            started_at_ms=now_ms,
            has_predecessor=settings.has_predecessor,
        )
        # Members that the size of the fleet was last taken from.
        self._observed: frozenset[str] | None = None
        self._rate_limiter = FleetRateLimiter(
            own_address=own.address,
            started_at_ms=now_ms,
            has_predecessor=settings.has_predecessor,
        )
        returning = ReturningServers()
        throttle = ServerThrottle(
            catalog=self._catalog,
            limiter=self._rate_limiter,
            limits=self._limits,
            brittle=self._brittle,
            loads=self._loads,
            returning=returning,
            is_store_current=self._is_store_current,
            cold_factor=settings.cold_factor,
            cold_slack=settings.cold_slack,
            log=self._log,
        )
        self._returns = ReturnChecks(
            reactor=self._reactor,
            pool=pool,
            binding=self._binding,
            catalog=self._catalog,
            throttle=throttle,
            returning=returning,
            is_store_current=self._is_store_current,
            log=self._log,
        )
        self._relay = PeerRelay(
            reactor=self._reactor,
            path=ServerPath(),
            server_pool=pool,
            peer_pool=ServerPool(reactor=self._reactor),
            catalog=self._catalog,
            own_entry=lambda: self._members.own,
            find_peers=self._members.peers,
            announce=self._announce_path,
            is_server_answer=self._binding.is_server_answer,
            region_of=settings.region_of,
            log=self._log,
            random_state=self._random,
        )
        self._dispatcher = RequestDispatcher(
            binding=self._binding,
            catalog=self._catalog,
            pool=pool,
            relay=self._relay,
            account=self._guard.account,
            throttle=throttle,
            budget=FleetRetryBudget(
                ratio=settings.repeat_ratio,
                slack=settings.repeat_slack,
                window_ms=round(settings.repeat_window_ms),
                started_at_ms=now_ms,
                has_predecessor=settings.has_predecessor,
            ),
            log=self._log,
            metrics=self._metrics,
            loads=self._loads,
            hot_keys=self._hot_keys,
            prefix_index=self._prefix_index,
            failures=self._failures,
            crashes=self._crashes,
            find_rank=self._find_rank,
            streams=self._streams,
            incarnations=self._incarnations,
            returns=self._returns,
            slots=self._slots,
            publish_reports=self._mesh.push_urgent_reports,
            publish_departure=self._publish_departure,
            data_centre=settings.data_centre,
            region_of=settings.region_of,
            n_routers=lambda: self._members.n_members,
            n_sharing=self._find_n_sharing,
            accepts_hop=self._members.accepts_hop,
            store_age_ms=self._store_age_ms,
            random_state=self._random,
        )

    def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        self._callers = self._open(
            loop,
            self._settings.caller_address,
            self._dispatcher.handle_request,
            guard=self._guard,
        )
        self._readiness = self._open(
            loop, self._settings.readiness_address, self._answer_readiness
        )
        try:
            self._open(loop, self._settings.metrics_address, self._answer_metrics)
        except CannotListenError as error:
            # Callers can be served without metrics.
            self._log.warn("metrics_not_served", sentence=str(error))

    def _open(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        handle: Callable[[CallerConnection, CallerRequest], None],
        *,
        guard: CallerGuard | None = None,
    ) -> CallerConnectionFactory:
        factory = CallerConnectionFactory(
            loop=loop,
            handle=handle,
            report=self._log.write,
            limits=CallerLimits(),
            connections=set(),
            guard=guard
            or CallerGuard(loop=loop, report=self._log.write, bounds=LEAST_BOUNDS),
        )
        host, port = address
        listener = self._listeners.pop(address, None)
        if listener is None:
            port_object = self._reactor.listenTCP(
                port, factory, backlog=LISTEN_BACKLOG, interface=host
            )
        else:
            port_object = self._reactor.adoptStreamPort(
                listener.fileno(), socket.AF_INET, factory
            )
            listener.close()
        self._ports.append(port_object)
        return factory

    def _answer_readiness(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        if request.target.partition(b"?")[0] != self._binding.readiness_path:
            connection.send_answer(404, (), b"")
            return
        status = 200 if self.is_ready else 503
        connection.send_answer(status, (), b"")

    def _answer_metrics(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        if request.target != METRICS_PATH:
            connection.send_answer(404, (), b"")
            return
        state = {
            "routers": float(self._members.n_members),
            "routers_known": float(self._fleet_size.estimate),
            "links": float(self._mesh.n_links),
            "servers": float(self._catalog.n_servers),
            "servers_limited": float(self._limits.n_limited),
            "streams_recorded": float(self._streams.n_records),
            "services_brittle": float(self._brittle.statements.n_limited),
            "server_path_cut": float(self._relay.is_needed),
            "exchanges": float(self._dispatcher.n_exchanges),
            "store_calls": float(self._reader.n_calls),
            "store_era": float(self._replica.position.era),
            "store_revision": float(self._replica.revision),
            "store_age_ms": float(self._store_age_ms()),
            "text_version": float(self._catalog.text_version),
            "changes_not_applied": float(self._applier.n_failed),
            "connections_opened": float(self._dispatcher.pool.n_opened),
            **self._guard.figures(),
        }
        self._metrics.slots.show(self._slots.statuses())
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        connection.send_answer(200, headers, self._metrics.render(state))

    def _handle_message(self, source: str, message: Message) -> None:
        if isinstance(message, SlotBatch):
            self._slots.handle(source, message)
        else:
            self._streams.handle_message(source, message)

    def _store_age_ms(self) -> int:
        age_ms = self._freshness.age_ms(round(monotonic_now_ms()))
        return -1 if age_ms is None else age_ms

    def _is_store_current(self) -> bool:
        return self._freshness.is_fresh(round(monotonic_now_ms()))

    def _should_read(self) -> bool:
        should_read = self._reader_role.should_read(round(monotonic_now_ms()))
        if should_read != self._is_reading:
            self._is_reading = should_read
            self._log.write(
                "store_reading" if should_read else "store_not_reading",
                store_age_ms=self._store_age_ms(),
                n_readers_before=len(self._members.readers_before()),
            )
        return should_read

    def _handle_difference(self, peer: str) -> None:
        at = self._replica.position
        self._log.warn("replica_differs", peer=peer, era=at.era, revision=at.revision)
        self._reader.request_list()

    def _apply_read(self, listed: ListedChanges) -> None:
        now_ms = round(monotonic_now_ms())
        version_before = self._catalog.text_version
        store_age_ms = self._store_age_ms()
        self._reader_role.record_read(now_ms)
        self._handle_contact(had_outage=self._freshness.record_own(now_ms))
        self._apply_listed(listed)
        self._log_configuration(version_before, source="store", age_ms=store_age_ms)
        self._mesh.push_changes()
        self._mesh.push_contact()

    def _apply_feed(self, feed: FeedUpdate, source: str) -> None:
        replica = self._replica
        version_before = self._catalog.text_version
        if feed.after == 0:
            listed = replica.apply_list(feed.changes, feed.position)
            if listed.is_restored:
                at = replica.position
                self._log.warn("store_restored", era=at.era, revision=at.revision)
            self._apply_listed(listed)
        elif feed.after <= replica.revision:
            self._apply_changes(replica.apply_changes(feed.changes, feed.position))
        superseded = replica.add_superseded(feed.superseded, feed.position.era)
        if superseded:
            self._apply_superseded(superseded)
        self._log_configuration(version_before, source=source)

    def _log_configuration(
        self, version_before: int, *, source: str, age_ms: int | None = None
    ) -> None:
        # Beside the time of the change in the store, this line tells which step between
        # the store and this router took long.
        if self._catalog.text_version != version_before:
            self._log.write(
                "configuration_received",
                text_version=self._catalog.text_version,
                source=source,
                revision=self._replica.revision,
                store_age_ms=self._store_age_ms() if age_ms is None else age_ms,
            )

    def _apply_listed(self, listed: ListedChanges) -> None:
        if listed.is_restored:
            # Servers need the same time to write again as after an outage.
            self._catalog.record_store_recovery(round(monotonic_now_ms()))
        self._apply_changes(listed.changes, is_restored=listed.is_restored)
        if listed.is_restored:
            for key in self._catalog.find_forgotten_leaving():
                self._publish_departure(key)

    def _apply_superseded(self, superseded: Sequence[Change]) -> None:
        # A router that starts after the store was restored learns what it lost.
        listed = {each.key for each in self._replica.items}
        self._apply_changes(superseded)
        lost = [evolve(each, value=None) for each in superseded]
        self._apply_changes(
            [each for each in lost if each.key not in listed], is_restored=True
        )

    def _apply_changes(
        self, changes: Sequence[Change], *, is_restored: bool = False
    ) -> None:
        now_ms = round(monotonic_now_ms())
        self._applier.apply(changes, now_ms, is_restored=is_restored)
        if self._replica.revision:
            self._catalog.mark_listed()
        if changes:
            self._handle_catalog_change()

    def _handle_catalog_change(self) -> None:
        configuration = self._catalog.configuration
        if configuration is not None:
            self._callers.limits = configuration.limits
        self._dispatcher.purge_removed_servers()

    def _announce_path(self, has_path: bool) -> None:
        may_relay = has_path and not self._is_stopping
        self._members.set_path(may_relay, monotonic_now_ms())
        self._mesh.push_urgent_reports()

    def _find_rank(self, key: str) -> tuple[int, int]:
        ranked = rank_by_rendezvous(key, self._members.addresses())
        return ranked.index(self._members.own.address), len(ranked)

    def _apply_departure(self, departure: Departure) -> bool:
        key = (departure.server_id, departure.started_at_ms)
        if not self._catalog.mark_leaving(key, cause="peer"):
            return False
        self._dispatcher.purge_removed_servers()
        return True

    def _publish_departure(self, key: tuple[str, int]) -> None:
        self._reports.add_departure(Departure(*key))
        self._mesh.push_urgent_reports()

    def _record_contact(self, contact: Contact) -> None:
        now_ms = round(monotonic_now_ms())
        self._handle_contact(had_outage=self._freshness.record(contact, now_ms))

    def _handle_contact(self, *, had_outage: bool) -> None:
        if had_outage:
            self._catalog.record_store_recovery(round(monotonic_now_ms()))
            self._log.write("store_returned")

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_MS / MS_PER_S)
            self._detect_pause()
            now_ms = round(monotonic_now_ms())
            if self._applier.retry(now_ms):
                self._handle_catalog_change()
            self._catalog.purge(now_ms)
            self._streams.observe_all()
            self._incarnations.purge()
            self._returns.maintain()
            self._relay.probe()
            self._slots.maintain()
            self._observe_fleet()

    def _find_n_sharing(self) -> int | None:
        if self._members.addresses() is not self._observed:
            self._observe_fleet()
        return self._fleet_size.find_n_routers(monotonic_now_ms())

    def _observe_fleet(self) -> None:
        addresses = self._observed = self._members.addresses()
        self._fleet_size.observe(addresses, n_told=self._members.n_told)
        self._rate_limiter.set_members(addresses, n_known=self._fleet_size.estimate)

    def _detect_pause(self) -> None:
        # The monotonic clock does not advance while the host is suspended.
        suspended_ms = _suspended_ms()
        paused_ms = suspended_ms - self._suspended_ms
        self._suspended_ms = suspended_ms
        if paused_ms >= MIN_PAUSE_MS:
            self._freshness.mark_stale()
            self._log.warn("process_paused", paused_ms=round(paused_ms))

    async def stop(self) -> None:
        """Finish running requests, close idle connections and cancel all tasks."""
        self._is_stopping = True
        started_ms = self._stop_signalled_ms
        if started_ms is None:
            started_ms = monotonic_now_ms()
        self._log.write("process_stopping", n_exchanges=self._dispatcher.n_exchanges)
        for factory in (self._callers, self._readiness):
            factory.is_stopping = True
        grace_ms = self._settings.grace_ms
        margin_ms = min(STOP_MARGIN_MS, STOP_MARGIN_FRACTION * grace_ms)
        end_ms = started_ms + grace_ms - margin_ms
        self._dispatcher.start_draining(started_ms, end_ms)
        self._slots.stop()
        # Peers without a path send their requests through others.
        self._announce_path(False)
        self._mesh.push_entries()
        while monotonic_now_ms() < end_ms:
            await asyncio.sleep(STOP_POLL_MS / MS_PER_S)
            if monotonic_now_ms() - started_ms < CLOSE_IDLE_AFTER_MS:
                continue
            for connection in list(self._callers.connections):
                connection.close_if_idle()
            if not self._callers.connections:
                break
        self._log.write("process_stopped", n_exchanges=self._dispatcher.n_exchanges)
        self._dispatcher.cancel_all()
        # The cancelled exchanges send their refusals in the next iteration.
        await asyncio.sleep(0)
        self.close()

    def close(self) -> None:
        """Cancel all tasks and close all sockets immediately."""
        self._dispatcher.cancel_all()
        self._slots.close()
        for port in self._ports:
            port.stopListening()
        for task in self._tasks:
            task.cancel()


def _suspended_ms() -> float:
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (boot_ns - time.monotonic_ns()) / NS_PER_MS


def _format(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
