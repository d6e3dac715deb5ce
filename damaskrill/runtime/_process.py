"""Construction, start and graceful stop of one router process."""

import asyncio
import secrets
import traceback
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from damaskrill.backends import BackendClient, ReportReader
from damaskrill.callers import CallerServer
from damaskrill.configuration import Settings
from damaskrill.kernel import build_kernel
from damaskrill.messages import (
    FleetView,
    Member,
    Message,
    StopRequested,
)
from damaskrill.monitoring import (
    EventLog,
    ProcessEventName,
)
from damaskrill.peers import PeerNetwork
from damaskrill.relay import AnswerCache, BodyStore, EntryRelay
from damaskrill.runtime._component_settings import (
    build_backend_limits,
    build_caller_limits,
    open_recorder,
    split_address,
)
from damaskrill.runtime._dispatcher import CallerDispatcher
from damaskrill.runtime._effects import EffectRunner
from damaskrill.runtime._errors import AddressNotFreeError
from damaskrill.runtime._hops import HopTable
from damaskrill.runtime._kernel_task import InputRecorder, KernelTask
from damaskrill.runtime._pages import RouterPages
from damaskrill.runtime._peer_events import PeerEvents
from damaskrill.runtime._platform import PlatformReader
from damaskrill.utils import Clock, SystemClock

__all__ = ["RouterProcess"]

MAINTENANCE_INTERVAL_S = 1.0
IDLE_POLL_S = 0.1
MAX_IDLE_POLLS = 30


class RouterProcess:
    """One router with all its tasks on the running event loop.

    Parameters
    ----------
    settings : Settings
        Addresses, data centre and limits.
    reactor : object
        Twisted's reactor, which runs on the asyncio event loop.
    clock : Clock, default=None
        Source of the current time; the system clock if None.
    random_state : int, default=None
        Seed of the kernel; random if None.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        reactor: Any,
        clock: Clock | None = None,
        random_state: int | None = None,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock or SystemClock()
        self._random_state = (
            secrets.randbits(32) if random_state is None else random_state
        )
        self._recorder: InputRecorder | None = None
        self._incarnation = secrets.token_hex(6)
        self._stopped_serving = asyncio.Event()
        self._failed = asyncio.Event()
        self._is_stopping = False
        self._tasks: list[asyncio.Task[Any]] = []
        self._view: FleetView | None = None
        self._caller_port = 0

    @property
    def own(self) -> Member:
        """Member that represents this process; available after ``start``."""
        return self._network.own

    @property
    def caller_port(self) -> int:
        """Port of the caller interface; available after ``start``."""
        return self._caller_port

    @property
    def view(self) -> FleetView | None:
        """Current view of the fleet; None before the first one."""
        return self._view

    @property
    def relay(self) -> EntryRelay:
        """Relay of the answers for which this process is the entry."""
        return self._relay

    async def wait_until_failed(self) -> None:
        """Wait until an essential task has failed."""
        await self._failed.wait()

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        settings = self._settings
        self._build_relay()
        await self._start_network()
        self._log = EventLog(router=self.own.address, clock=self._clock)
        self._kernel = build_kernel(own=self.own, random_state=self._random_state)
        self._pages = RouterPages(
            network=self._network,
            control_budget=self._kernel.control_budget,
            data_centre=settings.data_centre,
            clock=self._clock,
            collect_statistics=self._collect_statistics,
        )
        self._build_kernel_task()
        self._build_clients()
        self._build_caller_interface()
        self._build_effects()
        self._peer_events.connect(kernel_task=self._kernel_task, network=self._network)
        self._spawn(self._kernel_task.run())
        self._spawn(self._run_maintenance())
        self._start_caller_server()
        self._log.write(
            ProcessEventName.PROCESS_STARTED,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
            caller_port=self._caller_port,
            sentence="this router accepts callers and other routers",
        )

    def _start_caller_server(self) -> None:
        address = self._settings.caller_address
        host, port = split_address(address)
        try:
            self._caller_port = self._caller_server.start(host, port)
        except CannotListenError as error:
            reason = str(error.socketError)
            raise AddressNotFreeError(address=address, reason=reason) from error

    async def stop(self) -> None:
        """Stop gracefully: refuse new requests, finish open ones, then close.

        Notes
        -----
        The port stays open until the load balancer has had time to see that this
        router is not ready. Closing it immediately would reset connections that are
        established but not yet accepted, and their callers could not know that
        nothing was run.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self._pages.start_draining()
        self._log.write(ProcessEventName.PROCESS_STOPPING)
        self._kernel_task.post(StopRequested())
        await asyncio.sleep(self._settings.drain_time_ms / 1_000)
        timeout_s = self._settings.stop_timeout_ms / 1_000
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_idle()
        except TimeoutError:
            self._log.write(
                ProcessEventName.INTERNAL_ERROR,
                level="WARNING",
                sentence="open work did not finish before the stop timeout",
            )
        await self.close()

    async def _wait_until_idle(self) -> None:
        """Wait until the kernel has ended all work, or no work was open for some time.

        The second condition prevents a lost farewell message to a peer from blocking
        the stop.
        """
        n_idle_polls = 0
        while not self._stopped_serving.is_set() and n_idle_polls < MAX_IDLE_POLLS:
            await asyncio.sleep(IDLE_POLL_S)
            n_idle_polls = 0 if self._has_open_work else n_idle_polls + 1

    @property
    def _has_open_work(self) -> bool:
        components = (self._dispatcher, self._relay, self._hops, self._backends)
        return any(len(component) > 0 for component in components)

    async def close(self) -> None:
        """Close all components immediately."""
        self._is_stopping = True
        await self._caller_server.stop_listening()
        self._platform.stop()
        self._reports.stop()
        self._effects.stop()
        await self._backends.stop()
        await self._network.stop()
        self._caller_server.close_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._recorder is not None:
            self._recorder.close()
        self._log.write(ProcessEventName.PROCESS_STOPPED)

    def _build_relay(self) -> None:
        self._answer_cache = AnswerCache()
        self._relay = EntryRelay(answer_cache=self._answer_cache)
        self._bodies = BodyStore()
        self._hops = HopTable()
        self._peer_events = PeerEvents(
            clock=self._clock, relay=self._relay, bodies=self._bodies, hops=self._hops
        )

    async def _start_network(self) -> None:
        settings = self._settings
        host, port = split_address(settings.peer_address)
        own = Member(
            address=settings.peer_address,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
        )
        self._network = PeerNetwork(
            own=own,
            fleet_key=settings.fleet_key,
            clock=self._clock,
            limits=settings.peer_limits,
            handler=self._peer_events,
        )
        try:
            await self._network.start(host, port)
        except OSError as error:
            reason = error.strerror or str(error)
            raise AddressNotFreeError(
                address=settings.peer_address, reason=reason
            ) from error

    def _build_kernel_task(self) -> None:
        self._recorder = open_recorder(
            self._settings, own=self.own, random_state=self._random_state
        )
        self._kernel_task = KernelTask(
            kernel=self._kernel,
            clock=self._clock,
            run_effect=lambda effect, at_ms: self._effects.run(effect, at_ms),
            publish_view=self._apply_view,
            report_error=self._report_error,
            recorder=self._recorder,
        )

    def _build_clients(self) -> None:
        post: Callable[[Message], bool] = self._kernel_task.post
        self._backends = BackendClient(
            reactor=self._reactor,
            clock=self._clock,
            limits=build_backend_limits(self._settings),
            post=post,
        )
        self._reports = ReportReader(
            agent=self._backends.agent, clock=self._clock, post=post
        )
        self._platform = PlatformReader(
            agent=self._backends.agent,
            text_url=self._settings.configuration_service_url,
            host_list_url=self._settings.host_list_url,
            post=post,
            report_failure=lambda sentence: self._log.write(
                ProcessEventName.PLATFORM_READ_FAILED,
                level="WARNING",
                sentence=sentence,
            ),
        )

    def _build_caller_interface(self) -> None:
        limits = build_caller_limits(self._settings)
        self._dispatcher = CallerDispatcher(
            incarnation=self._incarnation,
            clock=self._clock,
            limits=limits,
            relay=self._relay,
            bodies=self._bodies,
            answer_cache=self._answer_cache,
            post=self._kernel_task.post,
            is_overloaded=lambda: self._kernel_task.is_overloaded,
        )
        self._caller_server = CallerServer(
            handler=self._dispatcher,
            pages=self._pages,
            clock=self._clock,
            limits=limits,
            reactor=self._reactor,
            report_error=self._report_caller_error,
        )

    def _build_effects(self) -> None:
        self._effects = EffectRunner(
            post=self._kernel_task.post,
            network=self._network,
            dispatcher=self._dispatcher,
            relay=self._relay,
            bodies=self._bodies,
            answer_cache=self._answer_cache,
            hops=self._hops,
            backends=self._backends,
            reports=self._reports,
            platform=self._platform,
            log=self._log,
            observe_event=self._pages.observe_event,
            stop_serving=self._stopped_serving.set,
        )

    def readiness(self) -> tuple[bool, str]:
        """Return whether the router accepts new work, and the reason."""
        return self._pages.readiness()

    def _collect_statistics(self) -> dict[str, int]:
        return {
            "callers_waiting": len(self._dispatcher),
            "answers_expected": len(self._relay),
            "attempts_at_backend_servers": len(self._backends),
            "work_for_other_routers": len(self._hops),
            "bytes_of_bodies_kept": self._bodies.n_bytes,
            "bytes_of_answers_kept": self._answer_cache.n_bytes,
            "messages_waiting_for_the_kernel": len(self._kernel_task),
            "messages_dropped": self._kernel_task.n_dropped,
            "late_chunks_dropped": self._relay.n_dropped_chunks,
            "load_reports_unread": self._reports.n_failed,
            "connections_to_routers": self._network.n_links,
            "chunks_sent_to_routers": self._network.counters.n_sent["Chunk"],
            "chunks_received_from_routers": self._network.counters.n_received["Chunk"],
        }

    def _apply_view(self, view: FleetView) -> None:
        self._view = view
        self._pages.apply_view(view)
        self._effects.apply_view(view)

    def _report_caller_error(self, error: Exception) -> None:
        self._report_error(error, None)

    def _report_error(self, error: Exception, message: Message | None) -> None:
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self._log.write(
            ProcessEventName.INTERNAL_ERROR,
            level="ERROR",
            code="internal_error",
            place=place,
            message_type="" if message is None else type(message).__name__,
            sentence=f"{type(error).__name__}: {error}"[:500],
        )

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now_ms = self._clock.now_ms
            self._bodies.purge(now_ms)
            for attempt_id in self._hops.attempts:
                if self._bodies.get(attempt_id) is None:
                    self._hops.discard_attempt(attempt_id)
            for hop_id, hop in self._hops.hops:
                if self._bodies.get(hop.request_id) is None:
                    self._hops.pop_hop(hop_id)
                    self._relay.close_request(hop.request_id)
            self._dispatcher.end_overdue()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._handle_task_end)
        self._tasks.append(task)

    def _handle_task_end(self, task: asyncio.Task[Any]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self._log.write(
            ProcessEventName.INTERNAL_ERROR,
            level="ERROR",
            code="internal_error",
            sentence=f"a task of the process has failed: {task.exception()!r}",
        )
        self._failed.set()
