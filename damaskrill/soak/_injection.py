"""Injection of the faults and the planned work of a plan."""

import time
from random import Random

from damaskrill.fakes.platform import (
    FakeStore,
    StoreMode,
    build_configuration,
)
from damaskrill.soak._configuration_probes import (
    APPLY_S,
    ConfigurationProbes,
    build_probe_route,
)
from damaskrill.soak._disruptions import RECONNECT_S, Disruptions
from damaskrill.soak._path_cuts import PathCuts
from damaskrill.soak._plan import Fault, FaultKind
from damaskrill.soak._proxy import FaultyProxy, LinkMode
from damaskrill.soak._routers import GRACE_PERIOD_S, RouterProcesses
from damaskrill.soak._schedule import Schedule
from damaskrill.soak._server_faults import SETTLING_S, ServerFaults
from damaskrill.soak._servers import SERVICES, ServerFleet

__all__ = ["EVACUATED_DATA_CENTRE", "FaultInjector"]

EVACUATED_DATA_CENTRE = "kality"
# Time within which operators and servers have written again what a restored store lost.
WRITE_AGAIN_S = 1.0
N_MEMORY_TOKENS = 1_000_000
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
    disruptions : Disruptions
        Record of the faults by router and server, and of planned work.
    schedule : Schedule
        Ends of the faults.
    random : Random
        Source of the steps between two versions of the configuration.

    Attributes
    ----------
    n_faults : int
        Number of injected faults.
    route_services : list of (float, dict of str to str)
        Times on the monotonic clock at which a version was written, and the service of
        each prefix in it.
    evacuations : list of (float, float)
        Begin and end of the evacuations of a data centre.
    servers : ServerFaults
        Faults of the servers.
    store_failed_until : float
        End of the last failure of the store or its link.
    probes : ConfigurationProbes
        Requests that show which version of the configuration is in force.
    """

    def __init__(
        self,
        *,
        store: FakeStore,
        store_proxy: FaultyProxy,
        fleet: ServerFleet,
        routers: RouterProcesses,
        disruptions: Disruptions,
        schedule: Schedule,
        random: Random,
        probes: ConfigurationProbes,
    ) -> None:
        self.n_faults = 0
        self.probes = probes
        self.route_services: list[tuple[float, dict[str, str]]] = []
        self.evacuations: list[tuple[float, float]] = []
        self.store_failed_until = 0.0
        self._store = store
        self._store_proxy = store_proxy
        self._fleet = fleet
        self._routers = routers
        self._random = random
        self._version = 1
        self._without: str | None = None
        self._disruptions = disruptions
        self._schedule = schedule
        self.servers = ServerFaults(
            store=store,
            fleet=fleet,
            disruptions=disruptions,
            schedule=schedule,
            is_store_stable=self._is_store_stable,
        )

        self._path_cuts = PathCuts(
            fleet=fleet, routers=routers, disruptions=disruptions, schedule=schedule
        )

    def put_configuration(self, without: str | None = None) -> None:
        """Publish a new version of the configuration.

        Parameters
        ----------
        without : str or None
            Service that it lacks; all routes lead to the others.
        """
        self._version += self._random.randint(1, 3)
        self._without = without
        content = build_configuration(version=self._version)
        content["routes"].append(build_probe_route(self._version))
        services = [each for each in content["services"] if each["name"] != without]
        for service in services:
            if "engineName" in service:
                # Far more than the prompts of a run, so that nothing is evicted.
                service["engineName"]["kvTokens"] = N_MEMORY_TOKENS
        for route in content["routes"]:
            if route["service"] == without:
                route["service"] = services[0]["name"]
        services_by_prefix = {
            route["prefix"]: route["service"] for route in content["routes"]
        }
        self.route_services.append((time.monotonic(), services_by_prefix))
        self._store.put_configuration({**content, "services": services})
        self.probes.record_version(self._version)

    def put_next_version(self) -> None:
        """Publish a version that differs in the route of the probes only."""
        self.put_configuration(self._without)

    def inject(self, fault: Fault) -> None:
        """Begin a fault and schedule its end."""
        self.n_faults += 1
        now = time.monotonic()
        match fault.kind:
            case FaultKind.STOP_ROUTER:
                if self._routers.stop(fault.target):
                    number = fault.target % len(self._routers.addresses)
                    self._disruptions.record_stop(number, now)
                self._record_work(fault, fault.target, GRACE_PERIOD_S + 1)
            case FaultKind.KILL_ROUTER:
                self._routers.kill(fault.target)
                self._record_router(fault.target, 0)
            case FaultKind.KILL_ALL_ROUTERS:
                for number in range(len(self._routers.addresses)):
                    self._routers.kill(number)
                    self._record_router(number, 0)
            case FaultKind.PAUSE_ROUTER:
                self._routers.pause(fault.target)
                self._record_router(fault.target, fault.duration_s)
                self._schedule.call_later(
                    fault.duration_s, lambda: self._routers.resume(fault.target)
                )
            case FaultKind.SIGNAL_RELOAD:
                self._routers.reload(fault.target)
                self._record_work(fault, fault.target, APPLY_S)
            case FaultKind.CHANGE_CONFIGURATION | FaultKind.REVOKE_KEY:
                self.put_configuration()
                self._record_work(fault, None, APPLY_S)
            case FaultKind.MOVE_ROUTES:
                self.put_configuration(SERVICES[fault.target % len(SERVICES)])
                self._record_work(fault, None, fault.duration_s + APPLY_S)
                self._schedule.call_later(fault.duration_s, self.put_configuration)
            case FaultKind.DATA_CENTRE_OUT:
                self._store.evacuate(EVACUATED_DATA_CENTRE)
                self.evacuations.append((now, now + fault.duration_s))
                self._schedule.call_later(
                    fault.duration_s,
                    lambda: self._store.cancel_evacuation(EVACUATED_DATA_CENTRE),
                )
            case FaultKind.STORE_BUSY | FaultKind.STORE_SILENT:
                self._fail_store(fault, STORE_FAULTS[fault.kind])
            case FaultKind.STORE_CUT:
                self._fail_link(fault, self._store_proxy, LinkMode.SILENT)
            case FaultKind.CUT_PATH:
                self.servers.fail_requests(fault)
                self._path_cuts.begin(fault)
            case FaultKind.RESTORE_STORE:
                self._restore_store(fault)
            case _:
                is_server_fault = self.servers.inject(fault)
                if not is_server_fault:
                    self._inject_link_fault(fault)

    def _record_router(self, number: int, duration_s: float) -> None:
        now = time.monotonic()
        number %= len(self._routers.addresses)
        self._disruptions.record_router(number, now, now + duration_s + RECONNECT_S)

    def _record_work(self, fault: Fault, number: int | None, duration_s: float) -> None:
        now = time.monotonic()
        if number is not None:
            number %= len(self._routers.addresses)
        self._disruptions.record_planned(
            fault.kind.value, number, now, now + duration_s
        )

    def _inject_link_fault(self, fault: Fault) -> None:
        proxies = [self._store_proxy, *self._fleet.proxies]
        proxy = proxies[fault.target % len(proxies)]
        if proxy is self._store_proxy:
            self._record_store_failure(fault.duration_s)
        for server, each in zip(self._fleet.servers, self._fleet.proxies):
            if each is proxy:
                now = time.monotonic()
                ends_at = now + fault.duration_s + RECONNECT_S
                if fault.kind is FaultKind.LINK_RESET:
                    # Connections that are opened later are sound.
                    ends_at = now + SETTLING_S
                self._disruptions.record_server(server.server_id, now, ends_at)
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
        self._schedule.call_later(
            fault.duration_s, lambda: self._store.set_mode(StoreMode.GOOD)
        )

    def _fail_link(self, fault: Fault, proxy: FaultyProxy, mode: LinkMode) -> None:
        if proxy is self._store_proxy:
            self._record_store_failure(fault.duration_s)
        proxy.mode = mode
        self._schedule.call_later(fault.duration_s, lambda: _restore_link(proxy))

    def _record_store_failure(self, duration_s: float) -> None:
        now = time.monotonic()
        self._disruptions.record_store(now, now + duration_s)
        self.store_failed_until = max(self.store_failed_until, now + duration_s)

    def _restore_store(self, fault: Fault) -> None:
        copy = self._store.take_copy()
        self._record_store_failure(fault.duration_s + WRITE_AGAIN_S)

        def restore() -> None:
            writes = self._store.writes_since(copy)
            self._store.restore(copy)
            self._schedule.call_later(
                WRITE_AGAIN_S, lambda: self._store.write_again(writes)
            )

        self._schedule.call_later(fault.duration_s, restore)

    def _is_store_stable(self) -> bool:
        return time.monotonic() > self.store_failed_until + RECONNECT_S


def _restore_link(proxy: FaultyProxy) -> None:
    proxy.mode = LinkMode.GOOD
