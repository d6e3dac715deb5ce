"""One seeded soak run: processes, fakes, faults and checks."""

import asyncio
import os
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from attrs import asdict, field, frozen

from damaskrill.fakes.platform import (
    FakeServer,
    FakeStore,
    Misbehaviour,
    StoreMode,
    build_configuration,
    build_entry,
)
from damaskrill.soak._callers import Exchange, send_requests_forever
from damaskrill.soak._checks import (
    ServerRecord,
    Violation,
    check_exchanges,
    check_leaving,
    check_pauses,
    check_planned_work,
)
from damaskrill.soak._plan import Fault, FaultKind, build_plan
from damaskrill.soak._proxy import FaultyProxy, LinkMode
from damaskrill.soak._routers import RouterProcesses

__all__ = ["SoakResult", "run_soak"]

N_EVENTS = 8
N_ENGINES = 3
N_PLAIN = 3
EVACUATED_DATA_CENTRE = "kality"
MAX_DRAIN_S = 2.0
# Time within which a killed or paused router must have reconnected. While the store or
# its link fails, and for this time after, changes need not arrive within their bounds.
RECONNECT_S = 3.0
MIN_SERVED_FRACTION = 0.25
# Pause that servers ask for, in seconds.
PAUSE_S = 1.5
# Time within which operators and servers have written again what a restored store lost.
WRITE_AGAIN_S = 1.0
# Time in which a router has received the answers to requests that are in progress.
ANSWER_S = 1.0
PORTS = (18_080, 18_081, 18_082)
MISBEHAVIOURS = (
    Misbehaviour.FULL,
    Misbehaviour.MOVED,
    Misbehaviour.ERROR,
    Misbehaviour.RESET,
    Misbehaviour.CUT,
    Misbehaviour.SECOND_ANSWER,
    Misbehaviour.OTHER_ID,
    Misbehaviour.NO_SEAL,
    Misbehaviour.NO_LENGTH_RESET,
    Misbehaviour.RUBBISH,
    Misbehaviour.MID_EVENT,
    Misbehaviour.HANG,
)
PLANNED_WORK = (
    FaultKind.STOP_ROUTER,
    FaultKind.SIGNAL_RELOAD,
    FaultKind.CHANGE_CONFIGURATION,
    FaultKind.LEAVE_SERVER,
    FaultKind.DATA_CENTRE_OUT,
)
LINK_FAULTS = {
    FaultKind.LINK_DELAY: LinkMode.DELAY,
    FaultKind.LINK_ONE_WAY: LinkMode.ONE_WAY,
}
STORE_FAULTS = {
    FaultKind.STORE_BUSY: StoreMode.BUSY,
    FaultKind.STORE_SILENT: StoreMode.SILENT,
}


@frozen(kw_only=True)
class SoakResult:
    """Result of a soak run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    n_requests, n_served, n_faults : int
        Requests sent, requests answered with success, and faults injected.
    breaches : list of Violation
        Violated guarantees.
    folder : str
        Directory of the logs; empty if no guarantee was violated.
    """

    seed: int
    n_requests: int
    n_served: int
    n_faults: int
    breaches: list[Violation] = field(factory=list)
    folder: str = ""

    def to_map(self) -> dict[str, Any]:
        """Return a dict for JSON."""
        return asdict(self)


class _SoakRun:
    def __init__(self, *, seed: int, n_routers: int, duration_s: float) -> None:
        from twisted.internet import reactor

        self._reactor = reactor
        self._seed = seed
        self._duration_s = duration_s
        self._random = Random(seed)
        self._n_routers = n_routers
        self._servers: list[FakeServer] = []
        self._proxies: list[FaultyProxy] = []
        self._entries: dict[str, dict[str, Any]] = {}
        self._keys = ["key-1", "key-2"]
        self._version = 1
        self._notified_at: dict[str, float] = {}
        self._announced_at: dict[str, float] = {}
        self._store_failed_until = 0.0
        self._exchanges: list[Exchange] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._n_faults = 0
        self._fault_windows: list[tuple[float, float]] = []

    async def run(self) -> SoakResult:
        folder = Path(tempfile.mkdtemp(prefix="damaskrill-soak-"))
        self._store = FakeStore(reactor=self._reactor)
        self._store_proxy = FaultyProxy(target=self._store.address)
        await self._store_proxy.start()
        self._put_configuration()
        for number in range(N_ENGINES):
            await self._add_server(f"e-{number}", "pool")
        for number in range(N_PLAIN):
            await self._add_server(f"a-{number}", "app")
        network = loopback_network(os.getpid())
        self._routers = RouterProcesses(
            folder=folder,
            hosts=[f"{network}.{n + 1}" for n in range(self._n_routers)],
            ports=PORTS,
            store=self._store_proxy.address,
        )
        try:
            await self._run_plan()
        finally:
            self._routers.kill_all()
            self._store.close()
            for server in self._servers:
                server.close()
            for proxy in (self._store_proxy, *self._proxies):
                proxy.close()
        return self._build_result(folder)

    async def _run_plan(self) -> None:
        loop = asyncio.get_running_loop()
        callers = [
            loop.create_task(
                send_requests_forever(
                    self._routers.addresses,
                    keys=self._keys,
                    exchanges=self._exchanges,
                    name=f"s{self._seed}-c{number}",
                    random=Random(f"{self._seed}-{number}"),
                )
            )
            for number in range(2 * self._n_routers)
        ]
        plan = build_plan(self._seed, self._duration_s)
        started_at = time.monotonic()
        while time.monotonic() - started_at < self._duration_s:
            self._routers.supervise()
            while plan and plan[0].at_s <= time.monotonic() - started_at:
                self._inject(plan.pop(0))
            await asyncio.sleep(0.02)
        for task in (*callers, *self._tasks):
            task.cancel()
        await asyncio.gather(*callers, *self._tasks, return_exceptions=True)

    def _inject(self, fault: Fault) -> None:
        self._n_faults += 1
        if fault.kind not in PLANNED_WORK:
            now = time.monotonic()
            self._fault_windows.append((now, now + fault.duration_s + RECONNECT_S))
        match fault.kind:
            case FaultKind.STOP_ROUTER:
                self._routers.stop(fault.target)
            case FaultKind.KILL_ROUTER:
                self._routers.kill(fault.target)
            case FaultKind.KILL_ALL_ROUTERS:
                for number in range(self._n_routers):
                    self._routers.kill(number)
            case FaultKind.PAUSE_ROUTER:
                self._routers.pause(fault.target)
                self._schedule_end(fault, lambda: self._routers.resume(fault.target))
            case FaultKind.SIGNAL_RELOAD:
                self._routers.reload(fault.target)
            case FaultKind.CHANGE_CONFIGURATION | FaultKind.REVOKE_KEY:
                self._put_configuration()
            case FaultKind.LEAVE_SERVER | FaultKind.CRASH_SERVER:
                self._replace_server(fault)
            case FaultKind.REUSE_ADDRESS:
                self._reuse_address(fault)
            case FaultKind.DATA_CENTRE_OUT:
                self._store.evacuate(EVACUATED_DATA_CENTRE)
                self._schedule_end(
                    fault, lambda: self._store.cancel_evacuation(EVACUATED_DATA_CENTRE)
                )
            case FaultKind.STORE_BUSY | FaultKind.STORE_SILENT:
                self._fail_store(fault, STORE_FAULTS[fault.kind])
            case FaultKind.STORE_CUT:
                self._fail_link(fault, self._store_proxy, LinkMode.SILENT)
            case FaultKind.RESTORE_STORE:
                self._restore_store(fault)
            case FaultKind.ANNOUNCE_LEAVING:
                self._announce_leaving(fault)
            case FaultKind.ASK_FOR_PAUSE:
                self._ask_for_pause(fault)
            case FaultKind.SERVER_MISBEHAVES:
                server = self._servers[fault.target % len(self._servers)]
                server.misbehaviour = MISBEHAVIOURS[fault.target % len(MISBEHAVIOURS)]
                self._schedule_end(fault, lambda: _clear_misbehaviour(server))
            case _:
                self._inject_link_fault(fault)

    def _inject_link_fault(self, fault: Fault) -> None:
        proxies = [self._store_proxy, *self._proxies]
        proxy = proxies[fault.target % len(proxies)]
        if proxy is self._store_proxy:
            self._record_store_failure(fault.duration_s)
        match fault.kind:
            case FaultKind.LINK_RESET:
                proxy.reset_all()
            case FaultKind.LINK_SILENCE:
                proxy.silence_all()
            case _:
                self._fail_link(fault, proxy, LINK_FAULTS[fault.kind])

    def _fail_store(self, fault: Fault, mode: StoreMode) -> None:
        self._record_store_failure(fault.duration_s)
        self._store.set_mode(mode)
        self._schedule_end(fault, lambda: self._store.set_mode(StoreMode.GOOD))

    def _fail_link(self, fault: Fault, proxy: FaultyProxy, mode: LinkMode) -> None:
        if proxy is self._store_proxy:
            self._record_store_failure(fault.duration_s)
        proxy.mode = mode
        self._schedule_end(fault, lambda: _restore_link(proxy))

    def _record_store_failure(self, duration_s: float) -> None:
        ends_at = time.monotonic() + duration_s
        self._store_failed_until = max(self._store_failed_until, ends_at)

    def _schedule_end(self, fault: Fault, action: Any) -> None:
        async def run() -> None:
            await asyncio.sleep(fault.duration_s)
            action()

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    def _put_configuration(self) -> None:
        self._version += self._random.randint(1, 3)
        self._store.put_configuration(build_configuration(version=self._version))

    def _start_server(self, server_id: str) -> FakeServer:
        return FakeServer(
            reactor=self._reactor,
            server_id=server_id,
            n_events=N_EVENTS,
            event_ms=15,
            work_ms=20,
        )

    async def _add_server(self, server_id: str, service: str) -> None:
        server = self._start_server(server_id)
        proxy = FaultyProxy(target=server.address)
        await proxy.start()
        self._servers.append(server)
        self._proxies.append(proxy)
        data_centre = ("bole", "kality", "sululta")[len(self._servers) % 3]
        entry = build_entry(service=service, address=proxy.address, zone=data_centre)
        self._entries[server_id] = entry
        self._store.put_server(server_id, entry)

    def _replace_server(self, fault: Fault) -> None:
        server = self._pick_registered(fault)
        entry = self._entries.pop(server.server_id)
        self._start_successor(server, entry)
        if fault.kind is FaultKind.CRASH_SERVER:
            server.close()
            self._store.remove_server(server.server_id)
            return
        self._store.put_leaving(server.server_id, entry)
        if time.monotonic() > self._store_failed_until + RECONNECT_S:
            self._notified_at[server.server_id] = time.monotonic()

    def _reuse_address(self, fault: Fault) -> None:
        # The server disappears without notice, and a server of another service gets and
        # registers its address immediately; the old entry expires later.
        numbers = [
            number
            for number, each in enumerate(self._servers)
            if each.server_id in self._entries
        ]
        number = numbers[fault.target % len(numbers)]
        old = self._servers[number]
        entry = self._entries.pop(old.server_id)
        new = self._start_server(f"{old.server_id}y")
        old.close()
        self._proxies[number].set_target(new.address)
        self._proxies[number].reset_all()
        self._servers.append(new)
        self._proxies.append(self._proxies[number])
        service = "app" if entry["service"] == "pool" else "pool"
        started_at_ms = round(time.time() * 1_000)
        self._entries[new.server_id] = {
            **entry,
            "service": service,
            "born": started_at_ms,
        }
        self._store.put_server(new.server_id, self._entries[new.server_id])
        self._schedule_end(fault, lambda: self._store.remove_server(old.server_id))

    def _restore_store(self, fault: Fault) -> None:
        copy = self._store.take_copy()
        self._record_store_failure(fault.duration_s + WRITE_AGAIN_S)

        async def run() -> None:
            await asyncio.sleep(fault.duration_s)
            writes = self._store.writes_since(copy)
            self._store.restore(copy)
            await asyncio.sleep(WRITE_AGAIN_S)
            self._store.write_again(writes)

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    def _announce_leaving(self, fault: Fault) -> None:
        # The entry in the store stays as it is.
        server = self._pick_registered(fault)
        self._start_successor(server, self._entries.pop(server.server_id))
        server.is_leaving = True
        self._announced_at[server.server_id] = time.monotonic()

    def _ask_for_pause(self, fault: Fault) -> None:
        server = self._pick_registered(fault)
        server.retry_after = str(PAUSE_S).encode()
        server.misbehaviour = Misbehaviour.FULL
        self._schedule_end(fault, lambda: _clear_misbehaviour(server))

    def _pick_registered(self, fault: Fault) -> FakeServer:
        registered = [each for each in self._servers if each.server_id in self._entries]
        return registered[fault.target % len(registered)]

    def _start_successor(self, server: FakeServer, entry: dict[str, Any]) -> None:
        self._tasks.append(
            asyncio.get_running_loop().create_task(
                self._add_server(f"{server.server_id}x", entry["service"])
            )
        )

    def _build_result(self, folder: Path) -> SoakResult:
        records = [
            ServerRecord(
                server_id=each.server_id,
                runs=dict(each.runs),
                arrivals=tuple(each.arrivals),
                pauses=tuple(each.pauses),
            )
            for each in self._servers
        ]
        breaches = check_exchanges(self._exchanges, records, N_EVENTS)
        breaches += check_planned_work(self._exchanges, records, self._fault_windows)
        n_served = sum(e.status == 200 and e.is_complete for e in self._exchanges)
        if n_served < MIN_SERVED_FRACTION * len(self._exchanges):
            detail = f"{n_served} of {len(self._exchanges)}"
            breaches.append(Violation(promise="served", request_id="", detail=detail))
        for record in records:
            breaches += self._check_server(record)
        return SoakResult(
            seed=self._seed,
            n_requests=len(self._exchanges),
            n_served=n_served,
            n_faults=self._n_faults,
            breaches=breaches,
            folder=str(folder) if breaches else "",
        )

    def _check_server(self, record: ServerRecord) -> list[Violation]:
        violations = []
        notice_at = self._notified_at.get(record.server_id)
        if notice_at is not None and self._was_store_available(notice_at):
            unaffected = self._unaffected_requests(notice_at)
            violations += check_leaving(record, notice_at, MAX_DRAIN_S, unaffected)
        announced_at = self._announced_at.get(record.server_id, float("inf"))
        later = [at for at, _ in record.arrivals if at > announced_at]
        if later:
            # All routers learn of it from the one that passed the first answer on.
            known_at = min(later) + ANSWER_S
            unaffected = self._unaffected_requests(announced_at)
            violations += check_leaving(record, known_at, MAX_DRAIN_S, unaffected)
        if record.pauses:
            unaffected = self._unaffected_requests(record.pauses[0][0])
            violations += check_pauses(record, self._exchanges, PAUSE_S, unaffected)
        return violations

    def _was_store_available(self, notice_at: float) -> bool:
        return not notice_at - RECONNECT_S <= self._store_failed_until

    def _unaffected_requests(self, notice_at: float) -> list[str]:
        return [
            each.request_id
            for each in self._exchanges
            if not self._routers.last_disrupted_at(each.router)
            > notice_at - RECONNECT_S
        ]


def _clear_misbehaviour(server: FakeServer) -> None:
    server.misbehaviour = Misbehaviour.NONE
    server.retry_after = None


def _restore_link(proxy: FaultyProxy) -> None:
    proxy.mode = LinkMode.GOOD


async def run_soak(*, seed: int, n_routers: int, duration_s: float) -> SoakResult:
    """Run the soak test with one seed.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers.
    n_routers : int
        Number of router processes.
    duration_s : float
        Time for which requests are sent, in seconds.

    Returns
    -------
    SoakResult
        Counts, and the violated guarantees.
    """
    return await _SoakRun(seed=seed, n_routers=n_routers, duration_s=duration_s).run()


def loopback_network(process_id: int) -> str:
    """Return the first three numbers of the loopback network of a process.

    Notes
    -----
    Two soak runs with the same seed at the same time must not share addresses:
    callers of one would reach routers of the other.
    """
    first, second = divmod(process_id % 50_000, 250)
    return f"127.{first + 10}.{second + 1}"
