"""Choices among servers of unequal speed, the product's and baselines."""

from random import Random

from benchmarks._uneven_fleet import (
    NO_SERVERS,
    RouterPolicy,
    UnevenFleet,
    find_earliest,
)
from damaskrill.steering import (
    Candidate,
    FailureDetector,
    FailureReport,
    FailureShares,
    FleetHealth,
    LoadReport,
    ServerLoad,
    ServerLoads,
    ServerOutcome,
    ServerSelector,
    UnevenChoice,
    expected_time_ms,
    short_server_id,
)

__all__ = [
    "AllKnowing",
    "AskBefore",
    "LeastLoaded",
    "OwnAnswers",
    "PresentKnowing",
    "ProbePool",
    "Product",
    "TwoChoices",
    "WithoutSpeeds",
]

# The published pool (Prequal): its size, the age and uses after which a probe is
# dropped, and the quantile of running requests from which a server is hot.
POOL_SIZE = 16
MAX_PROBE_AGE_MS = 1_000.0
MAX_PROBE_USES = 2
HOT_QUANTILE = 0.8
N_ASKED = 2


class Product(RouterPolicy):
    """The product's choice, from own answers and from what peers tell."""

    has_speeds = True
    is_told = True

    def __init__(self, fleet: UnevenFleet, number: int) -> None:
        servers = [each.server for each in fleet.servers]
        self._n_routers = fleet.load.n_routers
        self.detector = FailureDetector(
            router=f"10.0.0.{number}:7", data_centre=f"centre-{number % len(servers)}"
        )
        self._health = FleetHealth(detector=self.detector)
        self._random = Random(number)
        self._loads = ServerLoads()
        self._selector = ServerSelector(
            loads=self._loads,
            own_data_centre=servers[number % len(servers)].data_centre,
            random_state=self._random,
            failures=self.detector.shares,
        )
        self._servers = servers
        for each in servers:
            self._loads.register_server(each.key)

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        candidates = [
            Candidate(
                server=each,
                is_preferred=not self._health.is_ejected(each.key, now_ms),
            )
            for number, each in enumerate(self._servers)
            if number not in tried
        ]
        server = self._selector.select(
            candidates,
            affinity_keys=(),
            now_ms=now_ms,
            all_servers=self._servers,
            n_routers=self._n_routers,
            is_last=is_last,
        )
        return next(n for n, each in enumerate(self._servers) if each is server)

    def sent(self, index: int, now_ms: float) -> None:
        self._loads.start(self._servers[index].key)

    def answered(
        self, index: int, load: ServerLoad, duration_ms: float, now_ms: float
    ) -> None:
        key = self._servers[index].key
        self._loads.end(key)
        self._observe(index, load, now_ms)
        self._loads.speeds.observe_duration(short_server_id(key), duration_ms)

    def told(self, index: int, load: ServerLoad, age_ms: float, now_ms: float) -> None:
        if not self.is_told:
            return
        report = LoadReport(
            short_server_id(self._servers[index].key),
            load.n_requests,
            round(age_ms),
            load.n_slots,
            load.slowness if self.has_speeds else None,
        )
        self._loads.apply_reports([report], now_ms=now_ms, source="peer")

    def ended(self, index: int, outcome: ServerOutcome, now_ms: float) -> None:
        """Record how an attempt ended."""
        self._health.record(self._servers[index].key, outcome, now_ms)

    def told_failures(
        self, reports: list[FailureReport], fleet_per_s: float, now_ms: float
    ) -> None:
        """Apply other routers' reports of failures."""
        changed = self.detector.apply_reports(reports, now_ms=now_ms, source="peer")
        for server in self._servers:
            if short_server_id(server.key) in changed:
                self._health.evaluate_reports(
                    server.key,
                    service=[each.key for each in self._servers],
                    fleet_per_s=fleet_per_s,
                    now_ms=now_ms,
                )

    def _observe(self, index: int, load: ServerLoad, now_ms: float) -> None:
        key = self._servers[index].key
        if self.has_speeds:
            self._loads.observe_stated(key, load, now_ms)
        else:
            self._loads.observe_load(key, load.n_requests, now_ms)

    def _estimate(self, index: int, now_ms: float) -> float:
        return self._loads.estimate(self._servers[index].key, now_ms)


class OwnAnswers(Product):
    """The product's choice from own answers only."""

    is_told = False


class WithoutSpeeds(Product):
    """The choice where servers do not state how long work takes."""

    has_speeds = False


class TwoChoices(WithoutSpeeds):
    """The less loaded of two random servers."""

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        pair = self._random.sample(range(len(self._servers)), 2)
        return min(pair, key=lambda each: self._estimate(each, now_ms))


class LeastLoaded(WithoutSpeeds):
    """The least loaded server."""

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        return min(
            range(len(self._servers)),
            key=lambda each: (self._estimate(each, now_ms), self._random.random()),
        )


class AskBefore(Product):
    """Two servers are asked just before a request is sent, for a share of them."""

    def __init__(
        self, fleet: UnevenFleet, number: int, *, probes_per_request: float
    ) -> None:
        super().__init__(fleet, number)
        self._share = probes_per_request / N_ASKED
        self._answered: list[int] = []
        self._uneven = UnevenChoice(
            loads=self._loads,
            speeds=self._loads.speeds,
            failures=FailureShares(),
            own_data_centre=self._servers[number % len(self._servers)].data_centre,
            random_state=self._random,
        )

    def probes(self, now_ms: float) -> list[int]:
        if self._random.random() >= self._share:
            return []
        return self._random.sample(range(len(self._servers)), N_ASKED)

    def awaits_probes(self) -> bool:
        return True

    def probed(self, index: int, load: ServerLoad, now_ms: float) -> None:
        self._observe(index, load, now_ms)
        self._answered = [*self._answered[1 - N_ASKED :], index]

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        answered, self._answered = self._answered, []
        if not answered:
            return super().choose(now_ms)
        servers = [self._servers[each] for each in answered]
        return self._servers.index(self._uneven.choose(servers, now_ms))


class ProbePool(Product):
    """The published pool of probes, sent beside requests, each used few times."""

    def __init__(
        self, fleet: UnevenFleet, number: int, *, probes_per_request: float
    ) -> None:
        super().__init__(fleet, number)
        self._per_request = probes_per_request
        self._due = self._random.random()
        self._pool: list[list[float]] = []

    def probes(self, now_ms: float) -> list[int]:
        self._due += self._per_request
        n_probes, self._due = int(self._due), self._due % 1
        return self._random.sample(range(len(self._servers)), n_probes)

    def probed(self, index: int, load: ServerLoad, now_ms: float) -> None:
        probe = [now_ms, index, load.n_requests, load.slowness or 1.0, 0]
        self._pool = [*self._pool[1 - POOL_SIZE :], probe]

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        self._pool = [
            each
            for each in self._pool
            if now_ms - each[0] < MAX_PROBE_AGE_MS and each[4] < MAX_PROBE_USES
        ]
        if len(self._pool) < N_ASKED:
            return super().choose(now_ms)
        counts = sorted(each[2] for each in self._pool)
        hot = counts[int(HOT_QUANTILE * (len(counts) - 1))]
        cold = [each for each in self._pool if each[2] < hot]
        if cold:
            best = min(cold, key=lambda each: (each[3], each[2]))
        else:
            best = min(self._pool, key=lambda each: each[2])
        best[2] += 1
        best[4] += 1
        return int(best[1])


class PresentKnowing(RouterPolicy):
    """All queues and speeds of this moment are known."""

    def __init__(self, fleet: UnevenFleet, number: int) -> None:
        self._fleet, self._random = fleet, Random(number)

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        def cost(index: int) -> tuple[float, float]:
            server = self._fleet.servers[index]
            expected_ms = expected_time_ms(
                n_ahead=server.running + len(server.waiting) + server.coming,
                n_slots=server.server.n_slots,
                slowness=server.slowness(now_ms),
                work_ms=self._fleet.load.work_ms,
            )
            return (expected_ms, self._random.random())

        return min(range(len(self._fleet.servers)), key=cost)


class AllKnowing(RouterPolicy):
    """Also the speeds to come are known: the bound."""

    def __init__(self, fleet: UnevenFleet, number: int) -> None:
        self._fleet = fleet

    def choose(
        self, now_ms: float, *, tried: frozenset[int] = NO_SERVERS, is_last: bool = True
    ) -> int:
        return find_earliest(self._fleet)
