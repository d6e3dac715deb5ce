"""One seeded soak run: processes, fakes, faults and checks."""

import asyncio
import os
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from attrs import asdict, field, frozen

from damaskrill.fakes.platform import FakeStore
from damaskrill.soak._callers import Exchange, send_requests_forever
from damaskrill.soak._checks import (
    ServerRecord,
    Violation,
    check_exchanges,
    check_leaving,
    check_pauses,
    was_sent_after_restart,
)
from damaskrill.soak._configuration_probes import ConfigurationProbes, check_probes
from damaskrill.soak._crowd import send_crowd
from damaskrill.soak._disruptions import RECONNECT_S, Disruptions
from damaskrill.soak._excuses import Excuses
from damaskrill.soak._fatal_requests import (
    FatalInput,
    check_fatal_requests,
    send_fatal_requests,
)
from damaskrill.soak._fleet_rules import check_fleet_rules
from damaskrill.soak._followers import follow_streams_forever
from damaskrill.soak._injection import FaultInjector
from damaskrill.soak._limits import check_limits
from damaskrill.soak._plan import (
    Fault,
    FaultKind,
    build_plan,
    draw_mean_interval_s,
    draw_n_versions,
)
from damaskrill.soak._proxy import FaultyProxy
from damaskrill.soak._routers import RouterProcesses
from damaskrill.soak._schedule import Schedule
from damaskrill.soak._server_faults import PAUSE_S, find_fatal_input
from damaskrill.soak._servers import SERVICES, ServerFleet, find_deadlines

__all__ = ["SoakResult", "run_soak"]

MAX_DRAIN_S = 2.0
MIN_SERVED_FRACTION = 0.25
# Time in which a router has received the answers to requests that are in progress.
ANSWER_S = 1.0
PORTS = (18_080, 18_081, 18_082)
# Time between two versions beyond those of the plan, in seconds: each is the newest for
# a moment after it must be in force.
VERSION_INTERVAL_S = 2.9


@frozen(kw_only=True)
class SoakResult:
    """Result of a soak run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    n_requests, n_served, n_faults : int
        Requests at which no server crashes, those answered with success, and faults.
    n_probes : int
        Requests that showed which configuration a router had in force.
    breaches : list of Violation
        Violated guarantees.
    folder : str
        Directory of the logs; empty if no guarantee was violated.
    """

    seed: int
    n_requests: int
    n_served: int
    n_faults: int
    n_probes: int
    breaches: list[Violation] = field(factory=list)
    folder: str = ""

    def to_map(self) -> dict[str, Any]:
        """Return a dict for JSON."""
        return asdict(self)


class _SoakRun:
    def __init__(
        self,
        *,
        seed: int,
        n_routers: int,
        duration_s: float,
        fatal_kind: FaultKind | None,
    ) -> None:
        from twisted.internet import reactor

        self._reactor = reactor
        self._seed = seed
        self._duration_s = duration_s
        self._fatal_kind = fatal_kind
        self._fatal: FatalInput | None = None
        self._disruptions = Disruptions()
        self._schedule = Schedule()
        self._callers: list[asyncio.Task[None]] = []
        self._n_routers = n_routers
        self._keys = ["key-1", "key-2"]
        self._exchanges: list[Exchange] = []

    async def run(self) -> SoakResult:
        folder = Path(tempfile.mkdtemp(prefix="damaskrill-soak-"))
        store = FakeStore(reactor=self._reactor)
        store_proxy = FaultyProxy(target=store.address)
        await store_proxy.start()
        self._fleet = ServerFleet(
            reactor=self._reactor,
            store=store,
            disruptions=self._disruptions,
            schedule=self._schedule,
            n_versions=draw_n_versions(self._seed, self._n_routers),
        )
        network = loopback_network(os.getpid())
        self._routers = RouterProcesses(
            folder=folder,
            hosts=[f"{network}.{n + 1}" for n in range(self._n_routers)],
            ports=PORTS,
            store=store_proxy.address,
        )
        self._probes = ConfigurationProbes(
            routers=self._routers,
            exchanges=self._exchanges,
            key=self._keys[0],
            name=f"s{self._seed}-probe",
        )
        self._injector = FaultInjector(
            store=store,
            store_proxy=store_proxy,
            fleet=self._fleet,
            routers=self._routers,
            disruptions=self._disruptions,
            schedule=self._schedule,
            random=Random(self._seed),
            probes=self._probes,
        )
        self._injector.put_configuration()
        try:
            await self._fleet.start()
            await self._run_plan()
        finally:
            self._routers.kill_all()
            store.close()
            self._fleet.close()
            store_proxy.close()
        return self._build_result(folder)

    async def _run_plan(self) -> None:
        loop = asyncio.get_running_loop()
        mean_interval_s = draw_mean_interval_s(self._seed, self._n_routers)
        self._callers = [
            loop.create_task(
                send_requests_forever(
                    self._routers.addresses,
                    keys=self._keys,
                    exchanges=self._exchanges,
                    name=f"s{self._seed}-c{number}",
                    random=Random(f"{self._seed}-{number}"),
                    mean_interval_s=mean_interval_s,
                )
            )
            for number in range(2 * self._n_routers)
        ]
        self._callers += [
            loop.create_task(
                follow_streams_forever(
                    self._routers.addresses,
                    keys=self._keys,
                    exchanges=self._exchanges,
                    name=f"s{self._seed}-f{number}",
                    random=Random(f"{self._seed}-f{number}"),
                )
            )
            for number in range(2 * self._n_routers)
        ]
        self._callers.append(loop.create_task(self._probes.run()))
        version_at = VERSION_INTERVAL_S
        plan = build_plan(
            self._seed,
            self._duration_s,
            fatal_kind=self._fatal_kind,
            n_routers=self._n_routers,
        )
        started_at = time.monotonic()
        while time.monotonic() - started_at < self._duration_s:
            self._routers.supervise()
            while plan and plan[0].at_s <= time.monotonic() - started_at:
                self._inject(plan.pop(0))
            if time.monotonic() - started_at >= version_at:
                version_at += VERSION_INTERVAL_S
                self._injector.put_next_version()
            await asyncio.sleep(0.02)
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        await self._schedule.cancel()

    def _inject(self, fault: Fault) -> None:
        self._injector.inject(fault)
        fatal = find_fatal_input(fault)
        if fault.kind is FaultKind.FAILING_SERVICE:
            pressing = send_crowd(
                self._routers.addresses,
                service=SERVICES[fault.target % len(SERVICES)],
                duration_s=fault.duration_s,
                key=self._keys[0],
                exchanges=self._exchanges,
                name=f"s{self._seed}-crowd-{fault.target}",
            )
            self._callers.append(asyncio.get_running_loop().create_task(pressing))
        if fatal is not None:
            self._fatal = fatal
            sending = send_fatal_requests(
                self._routers.addresses,
                fatal=fatal,
                keys=self._keys,
                exchanges=self._exchanges,
                name=f"s{self._seed}-fatal",
                random=Random(f"{self._seed}-fatal"),
            )
            self._callers.append(asyncio.get_running_loop().create_task(sending))

    def _build_result(self, folder: Path) -> SoakResult:
        records = [
            ServerRecord(
                server_id=each.server_id,
                runs=dict(each.runs),
                arrivals=tuple(each.arrivals),
                pauses=tuple(each.pauses),
                silences=tuple(each.silences),
                deadlines=find_deadlines(each),
                service=self._fleet.services[each.server_id],
                version=self._fleet.versions[each.server_id],
                data_centre=self._fleet.data_centres[each.server_id],
                serving=self._fleet.serving[each.server_id],
            )
            for each in self._fleet.servers
        ]
        breaches = check_exchanges(self._exchanges, records)
        breaches += check_fleet_rules(
            self._exchanges,
            records,
            self._injector,
            Excuses(disruptions=self._disruptions, starts_of=self._routers.starts_of),
        )
        breaches += check_probes(
            self._probes.probes,
            self._disruptions,
            {name: n for each in records for name, n in each.runs.items()},
        )
        if self._fatal is not None:
            breaches += check_fatal_requests(
                self._fatal,
                self._exchanges,
                records,
                self._fleet.crashes,
                self._disruptions,
            )
        sound = [
            each
            for each in self._exchanges
            if not (each.is_fatal or each.is_probe or each.is_pressing or each.has_left)
        ]
        n_served = sum(e.status == 200 and e.is_complete for e in sound)
        if n_served < MIN_SERVED_FRACTION * len(sound):
            detail = f"{n_served} of {len(sound)}"
            breaches.append(Violation(promise="served", request_id="", detail=detail))
        for record in records:
            breaches += self._check_server(record)
        return SoakResult(
            seed=self._seed,
            n_requests=len(sound),
            n_served=n_served,
            n_faults=self._injector.n_faults,
            n_probes=sum(each.exchange.status > 0 for each in self._probes.probes),
            breaches=breaches,
            folder=str(folder) if breaches else "",
        )

    def _check_server(self, record: ServerRecord) -> list[Violation]:
        violations = []
        notice_at = self._injector.servers.notified_at.get(record.server_id)
        if notice_at is not None and not self._disruptions.hit_store(
            notice_at, notice_at + MAX_DRAIN_S
        ):
            unaffected = self._requests_at_sound_routers(notice_at)
            violations += check_leaving(record, notice_at, MAX_DRAIN_S, unaffected)
        announced_at = self._injector.servers.announced_at.get(
            record.server_id, float("inf")
        )
        later = [at for at, _ in record.arrivals if at > announced_at]
        if later:
            # All routers learn of it from the one that passed the first answer on.
            known_at = min(later) + ANSWER_S
            # A process that has started since need not know of an answer.
            restarted = {
                each.request_id
                for each in self._exchanges
                if was_sent_after_restart(
                    each, self._routers.starts_of(each.router), announced_at
                )
            }
            unaffected = self._unaffected_requests(announced_at)
            unaffected = [each for each in unaffected if each not in restarted]
            violations += check_leaving(record, known_at, MAX_DRAIN_S, unaffected)
        if record.pauses:
            unaffected = self._unaffected_requests(record.pauses[0][0])
            violations += check_pauses(
                record,
                self._exchanges,
                PAUSE_S,
                unaffected,
                self._routers.starts_of,
                self._disruptions.began_at_router,
            )
        for period in self._injector.servers.limit_periods:
            if period.server_id == record.server_id:
                unaffected = self._unaffected_requests(period.begin)
                violations += check_limits(period, record, set(unaffected))
        return violations

    def _requests_at_sound_routers(self, since: float) -> list[str]:
        """Return the requests whose router had no fault from some time until then."""
        return [
            each.request_id
            for each in self._exchanges
            if not self._disruptions.hit_router(
                each.router, since - RECONNECT_S, max(since, each.sent_at)
            )
        ]

    def _unaffected_requests(self, notice_at: float) -> list[str]:
        return [
            each.request_id
            for each in self._exchanges
            if not self._routers.last_disrupted_at(each.router)
            > notice_at - RECONNECT_S
        ]


async def run_soak(
    *,
    seed: int,
    n_routers: int,
    duration_s: float,
    fatal_kind: FaultKind | None = None,
) -> SoakResult:
    """Run the soak test with one seed.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers.
    n_routers : int
        Number of router processes.
    duration_s : float
        Time for which requests are sent, in seconds.
    fatal_kind : FaultKind or None, default=None
        What crashes servers: a prompt part, a request, or nothing.

    Returns
    -------
    SoakResult
        Counts, and the violated guarantees.
    """
    return await _SoakRun(
        seed=seed,
        n_routers=n_routers,
        duration_s=duration_s,
        fatal_kind=fatal_kind,
    ).run()


def loopback_network(process_id: int) -> str:
    """Return the first three numbers of the loopback network of a process.

    Notes
    -----
    Two soak runs with the same seed at the same time must not share addresses:
    callers of one would reach routers of the other.
    """
    first, second = divmod(process_id % 50_000, 250)
    return f"127.{first + 10}.{second + 1}"
