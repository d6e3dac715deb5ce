"""Routers before a few servers of unequal speed, driven by seeded arrivals.

The decision code itself chooses; servers, links and time are emulated.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random

from attrs import define, field, frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering import ServerLoad

__all__ = [
    "EmulatedServer",
    "FleetResult",
    "RouterPolicy",
    "UnevenFleet",
    "UnevenLoad",
    "find_earliest",
]

# The load of the issue: a seventh of the time a server takes 2.5 times as long.
SLOW_SHARE = 1 / 7
SLOWNESS = 2.5
CHANGE_MS = 600.0
N_SLOTS = 6
N_SERVERS = 4
# A request's work differs from the mean by up to this share, evenly on both sides.
WORK_SPREAD = 0.5
# Time from a router to a server, one way.
LINK_MS = 1.4
# The answer of a probe is read before the request is sent.
LINK_SLACK_MS = 0.01
# Age at which a router hears what others were told, and how often it does.
MIN_TOLD_MS = 300.0
MAX_TOLD_MS = 1_000.0
TOLD_INTERVAL_MS = 400.0
# Work of a server for one probe (the users' page).
PROBE_MS = 7.7
NO_SERVERS: frozenset[int] = frozenset()


@frozen(kw_only=True)
class UnevenLoad:
    """Load that the fleet gets.

    Parameters
    ----------
    n_routers : int
        Routers, each with the same share of the arrivals.
    utilization : float
        Share of the servers' mean capacity that is asked for.
    duration_ms : float
        Duration, in milliseconds.
    kinds : tuple of float
        Slowness of each server for good, beside what changes.
    work_ms : float
        Mean work of a request, in milliseconds.
    lying : tuple of float
        What each server states, as a multiple of its slowness.
    """

    n_routers: int
    utilization: float = 0.7
    duration_ms: float = 60_000.0
    kinds: tuple[float, ...] = (1.0,) * N_SERVERS
    work_ms: float = 90.0
    lying: tuple[float, ...] = (1.0,) * N_SERVERS

    @property
    def per_s(self) -> float:
        """Arrivals a second at all routers."""
        mean_slowness = 1 + SLOW_SHARE * (SLOWNESS - 1)
        per_slot = 1_000 / (self.work_ms * mean_slowness)
        return self.utilization * N_SLOTS * per_slot * sum(1 / k for k in self.kinds)


@define(eq=False)
class EmulatedServer:
    """Server whose speed changes at fixed intervals."""

    server: BackendServer
    slowness_by_interval: list[float]
    offset_ms: float
    lying: float
    running: int = 0
    waiting: list[tuple[float, Callable[[], None]]] = field(factory=list)
    # Ends of the running requests, which the all-knowing bound may see.
    ends: list[float] = field(factory=list)
    # Requests on their way to it.
    coming: int = 0

    def slowness(self, now_ms: float) -> float:
        """Return how long work takes now."""
        return self.slowness_by_interval[int((now_ms + self.offset_ms) // CHANGE_MS)]

    def end_of(self, start_ms: float, work_ms: float) -> float:
        """Return when work is done that starts at a time."""
        now_ms = start_ms
        while True:
            index = int((now_ms + self.offset_ms) // CHANGE_MS)
            slowness = self.slowness_by_interval[index]
            change_ms = (index + 1) * CHANGE_MS - self.offset_ms
            if now_ms + work_ms * slowness <= change_ms:
                return now_ms + work_ms * slowness
            work_ms -= (change_ms - now_ms) / slowness
            now_ms = change_ms

    def load(self, now_ms: float) -> ServerLoad:
        """Return what it states."""
        return ServerLoad(
            n_running=self.running,
            n_waiting=len(self.waiting),
            n_slots=N_SLOTS,
            slowness=round(self.lying * self.slowness(now_ms), 2),
        )


class RouterPolicy:
    """How one router chooses; all methods but `choose` may do nothing."""

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        """Return the index of the server for a request."""
        raise NotImplementedError

    def sent(self, index: int, now_ms: float) -> None:
        """Handle that a request is sent."""

    def answered(
        self, index: int, load: ServerLoad, duration_ms: float, now_ms: float
    ) -> None:
        """Handle the answer of an own request."""

    def told(self, index: int, load: ServerLoad, age_ms: float, now_ms: float) -> None:
        """Handle what another router was told."""

    def probes(self, now_ms: float) -> list[int]:
        """Return the servers to probe now that a request has come."""
        return []

    def awaits_probes(self) -> bool:
        """Return whether the request waits for the answers of its probes."""
        return False

    def probed(self, index: int, load: ServerLoad, now_ms: float) -> None:
        """Handle the answer of a probe."""


@frozen(kw_only=True)
class FleetResult:
    """What callers saw.

    Parameters
    ----------
    times_ms : list of float
        Time of each answer, sorted.
    n_probes : int
        Probes sent.
    """

    times_ms: list[float]
    n_probes: int

    def percentile(self, percent: float) -> float:
        """Return a percentile of the times, in milliseconds."""
        return self.times_ms[int(percent / 100 * (len(self.times_ms) - 1))]

    def probe_work_share(self, work_ms: float) -> float:
        """Return the servers' work for probes as a share of that for requests."""
        return self.n_probes * PROBE_MS / (len(self.times_ms) * work_ms)

    @property
    def mean_ms(self) -> float:
        """Mean time of an answer."""
        return sum(self.times_ms) / len(self.times_ms)


class UnevenFleet:
    """Emulated fleet; the same seed gives the same arrivals and speeds.

    Parameters
    ----------
    load : UnevenLoad
        Load that it gets.
    seed : int
        Seed of arrivals, sizes and speeds.
    """

    def __init__(self, *, load: UnevenLoad, seed: int) -> None:
        self.load = load
        self._random = Random(seed)
        n_intervals = int(2 * load.duration_ms / CHANGE_MS) + 20
        self.servers = [
            EmulatedServer(
                BackendServer(
                    server_id=f"server-{n}",
                    service="records",
                    address=("10.0.0.1", n + 1),
                    data_centre=f"centre-{n}",
                    n_slots=N_SLOTS,
                ),
                [
                    kind * (SLOWNESS if self._random.random() < SLOW_SHARE else 1.0)
                    for _ in range(n_intervals)
                ],
                self._random.random() * CHANGE_MS,
                load.lying[n],
            )
            for n, kind in enumerate(load.kinds)
        ]
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        # What each server stated, and when, for the news of other routers.
        self._stated: list[list[tuple[float, ServerLoad]]] = [[] for _ in load.kinds]
        self._times_ms: list[float] = []
        self._n_probes = 0

    def run(self, build_policy: Callable[[int], RouterPolicy]) -> FleetResult:
        """Run all arrivals; a router's policy is built from its number."""
        routers = [build_policy(n) for n in range(self.load.n_routers)]
        at_ms = 0.0
        while (at_ms := at_ms + self._random.expovariate(self.load.per_s / 1_000)) < (
            self.load.duration_ms
        ):
            router = self._random.choice(routers)
            size = 1 + WORK_SPREAD * (2 * self._random.random() - 1)
            work_ms = self.load.work_ms * size
            self._at(at_ms, partial(self._arrive, router, work_ms))
        told_random = Random(self._random.random())
        for router in routers:
            start_ms = told_random.random() * TOLD_INTERVAL_MS
            self._at(start_ms, partial(self._tell, router, told_random))
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        return FleetResult(times_ms=sorted(self._times_ms), n_probes=self._n_probes)

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), act))

    def _arrive(self, router: RouterPolicy, work_ms: float) -> None:
        arrived_ms = self.now_ms
        probed = router.probes(arrived_ms)
        for index in probed:
            self._n_probes += 1
            self._at(arrived_ms + LINK_MS, partial(self._probe, router, index))
        if probed and router.awaits_probes():
            answered_ms = arrived_ms + 2 * LINK_MS + LINK_SLACK_MS
            self._at(answered_ms, partial(self._send, router, work_ms, arrived_ms))
        else:
            self._send(router, work_ms, arrived_ms)

    def _send(self, router: RouterPolicy, work_ms: float, arrived_ms: float) -> None:
        sent_ms = self.now_ms
        index = router.choose(self.now_ms)
        router.sent(index, self.now_ms)
        server = self.servers[index]
        server.coming += 1

        def done(load: ServerLoad) -> None:
            def receive() -> None:
                self._times_ms.append(self.now_ms - arrived_ms)
                router.answered(index, load, self.now_ms - sent_ms, self.now_ms)

            self._at(self.now_ms + LINK_MS, receive)

        def reach() -> None:
            server.coming -= 1
            self._enqueue(index, work_ms, done)

        self._at(self.now_ms + LINK_MS, reach)

    def _probe(self, router: RouterPolicy, index: int) -> None:
        load = self.servers[index].load(self.now_ms)
        self._enqueue(index, PROBE_MS, None)
        self._at(
            self.now_ms + LINK_MS,
            lambda: router.probed(index, load, self.now_ms),
        )

    def _enqueue(
        self, index: int, work_ms: float, done: Callable[[ServerLoad], None] | None
    ) -> Callable[[], None]:
        """Put work into a server's queue; return what drops it again."""
        server = self.servers[index]
        # When it ends; empty while it waits, and once it is over.
        ends: list[float] = []

        def start() -> None:
            server.running += 1
            ends.append(server.end_of(self.now_ms, work_ms))
            server.ends.append(ends[0])
            self._at(ends[0], end)

        def free() -> None:
            server.running -= 1
            server.ends.remove(ends.pop())
            if server.waiting:
                server.waiting.pop(0)[1]()

        def end() -> None:
            if not ends:
                return
            free()
            if done is not None:
                load = server.load(self.now_ms)
                self._stated[index].append((self.now_ms, load))
                done(load)

        def drop() -> None:
            if ends:
                free()
            elif entry in server.waiting:
                server.waiting.remove(entry)

        entry = (work_ms, start)
        if server.running < N_SLOTS:
            start()
        else:
            server.waiting.append(entry)
        return drop

    def _tell(self, router: RouterPolicy, random: Random) -> None:
        for index, stated in enumerate(self._stated):
            until_ms = self.now_ms - random.uniform(MIN_TOLD_MS, MAX_TOLD_MS)
            newest = next((s for s in reversed(stated) if s[0] <= until_ms), None)
            if newest is not None:
                router.told(index, newest[1], self.now_ms - newest[0], self.now_ms)
        next_ms = self.now_ms + TOLD_INTERVAL_MS
        if next_ms < self.load.duration_ms:
            self._at(next_ms, partial(self._tell, router, random))


def find_earliest(fleet: UnevenFleet) -> int:
    """Return the server where a request that is sent now would be done first.

    Notes
    -----
    It sees all queues, requests on their way, and speeds, also those to come.
    """
    work_ms = fleet.load.work_ms

    def end_ms(server: EmulatedServer) -> float:
        free = [0.0] * (N_SLOTS - len(server.ends)) + server.ends
        heapq.heapify(free)
        ahead = [each[0] for each in server.waiting] + [work_ms] * server.coming
        for each in ahead:
            start_ms = max(heapq.heappop(free), fleet.now_ms)
            heapq.heappush(free, server.end_of(start_ms, each))
        return server.end_of(max(fleet.now_ms + LINK_MS, heapq.heappop(free)), work_ms)

    ends = [end_ms(each) for each in fleet.servers]
    return ends.index(min(ends))
