"""Injection of the faults and the planned work of a plan."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from damaskrill.fakes.platform import (
    FakeServer,
    FakeStore,
    Misbehaviour,
    StoreMode,
    build_configuration,
)
from damaskrill.soak._plan import Fault, FaultKind
from damaskrill.soak._proxy import FaultyProxy, LinkMode
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._servers import ServerFleet

__all__ = ["PAUSE_S", "RECONNECT_S", "FaultInjector"]

EVACUATED_DATA_CENTRE = "kality"
# Time within which a killed or paused router must have reconnected. While the store or
# its link fails, and for this time after, changes need not arrive within their bounds.
RECONNECT_S = 3.0
# Pause that servers ask for, in seconds.
PAUSE_S = 1.5
# Time within which operators and servers have written again what a restored store lost.
WRITE_AGAIN_S = 1.0
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


class FaultInjector:
    """Injects faults and records when each of them was active.

    Parameters
    ----------
    store : FakeStore
        The store.
    store_proxy : FaultyProxy
        Proxy between the routers and the store.
    fleet : ServerFleet
        The backend servers.
    routers : RouterProcesses
        The routers.
    random : Random
        Source of the steps between two versions of the configuration.

    Attributes
    ----------
    n_faults : int
        Number of injected faults.
    fault_windows : list of (float, float)
        Begin and end of all faults other than planned work, on the monotonic clock.
    notified_at, announced_at : dict of str to float
        Times at which a server announced in the store, and in its answers, that it
        leaves.
    store_failed_until : float
        End of the last failure of the store or its link.
    """

    def __init__(
        self,
        *,
        store: FakeStore,
        store_proxy: FaultyProxy,
        fleet: ServerFleet,
        routers: RouterProcesses,
        random: Random,
    ) -> None:
        self.n_faults = 0
        self.fault_windows: list[tuple[float, float]] = []
        self.notified_at: dict[str, float] = {}
        self.announced_at: dict[str, float] = {}
        self.store_failed_until = 0.0
        self._store = store
        self._store_proxy = store_proxy
        self._fleet = fleet
        self._routers = routers
        self._random = random
        self._version = 1
        self._tasks: list[asyncio.Task[None]] = []

    def put_configuration(self) -> None:
        """Publish a new version of the configuration."""
        self._version += self._random.randint(1, 3)
        self._store.put_configuration(build_configuration(version=self._version))

    async def stop(self) -> None:
        """Cancel the ends of faults that are due."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def inject(self, fault: Fault) -> None:
        """Begin a fault and schedule its end."""
        self.n_faults += 1
        if fault.kind not in PLANNED_WORK:
            now = time.monotonic()
            self.fault_windows.append((now, now + fault.duration_s + RECONNECT_S))
        match fault.kind:
            case FaultKind.STOP_ROUTER:
                self._routers.stop(fault.target)
            case FaultKind.KILL_ROUTER:
                self._routers.kill(fault.target)
            case FaultKind.KILL_ALL_ROUTERS:
                for number in range(len(self._routers.addresses)):
                    self._routers.kill(number)
            case FaultKind.PAUSE_ROUTER:
                self._routers.pause(fault.target)
                self._schedule_end(fault, lambda: self._routers.resume(fault.target))
            case FaultKind.SIGNAL_RELOAD:
                self._routers.reload(fault.target)
            case FaultKind.CHANGE_CONFIGURATION | FaultKind.REVOKE_KEY:
                self.put_configuration()
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
            case _:
                self._inject_server_fault(fault)

    def _inject_server_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.LEAVE_SERVER | FaultKind.CRASH_SERVER:
                self._replace_server(fault)
            case FaultKind.REUSE_ADDRESS:
                # The server disappears without notice, and a server of another service
                # registers its address immediately; the old entry expires later.
                old = self._fleet.reuse_address(fault.target)
                self._schedule_end(
                    fault, lambda: self._store.remove_server(old.server_id)
                )
            case FaultKind.ANNOUNCE_LEAVING:
                # The entry in the store stays as it is.
                server = self._fleet.pick_registered(fault.target)
                self._fleet.remove_entry(server)
                server.is_leaving = True
                self.announced_at[server.server_id] = time.monotonic()
            case FaultKind.ASK_FOR_PAUSE:
                server = self._fleet.pick_registered(fault.target)
                server.retry_after = str(PAUSE_S).encode()
                server.misbehaviour = Misbehaviour.FULL
                self._schedule_end(fault, lambda: _clear_misbehaviour(server))
            case FaultKind.SERVER_MISBEHAVES:
                server = self._fleet.pick(fault.target)
                server.misbehaviour = MISBEHAVIOURS[fault.target % len(MISBEHAVIOURS)]
                self._schedule_end(fault, lambda: _clear_misbehaviour(server))
            case _:
                self._inject_link_fault(fault)

    def _inject_link_fault(self, fault: Fault) -> None:
        proxies = [self._store_proxy, *self._fleet.proxies]
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
        self.store_failed_until = max(self.store_failed_until, ends_at)

    def _schedule_end(self, fault: Fault, action: Callable[[], object]) -> None:
        async def run() -> None:
            await asyncio.sleep(fault.duration_s)
            action()

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    def _replace_server(self, fault: Fault) -> None:
        server = self._fleet.pick_registered(fault.target)
        entry = self._fleet.remove_entry(server)
        if fault.kind is FaultKind.CRASH_SERVER:
            server.close()
            self._store.remove_server(server.server_id)
            return
        self._store.put_leaving(server.server_id, entry)
        if time.monotonic() > self.store_failed_until + RECONNECT_S:
            self.notified_at[server.server_id] = time.monotonic()

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


def _clear_misbehaviour(server: FakeServer) -> None:
    server.misbehaviour = Misbehaviour.NONE
    server.retry_after = None


def _restore_link(proxy: FaultyProxy) -> None:
    proxy.mode = LinkMode.GOOD
