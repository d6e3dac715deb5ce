"""The same fleet with servers that fail requests, and second attempts at lookups."""

from collections.abc import Callable
from functools import partial
from random import Random

from attrs import define, field, frozen

from benchmarks._uneven_fleet import (
    LINK_MS,
    NO_SERVERS,
    FleetResult,
    RouterPolicy,
    UnevenFleet,
)
from benchmarks._uneven_policies import Product
from damaskrill.steering import FailureReport, ServerLoad, ServerOutcome

__all__ = ["FailurePattern", "RetryResult", "RetryingFleet"]

# Share of requests that may be repeated (the users' lookups beside actions).
LOOKUP_SHARE = 0.29
# Delay until a router publishes failures.
PUBLISH_MS = 50.0
# Second attempts for each request, as the retry budget allows.
BUDGET = 0.14
N_ATTEMPTS = 2


@frozen(kw_only=True)
class FailurePattern:
    """Which servers fail their requests, and when a silent one is left.

    Parameters
    ----------
    shares : tuple of float
        Share of its requests that each server fails at all times.
    faulty_shares : tuple of float
        The same during a fault.
    period_ms, fault_ms : float
        A fault begins once in the period, and lasts so long.
    target_ms : float
        Time within which an answer is due.
    hedge_ms : float
        Time after which a lookup is also sent to another server.
    """

    shares: tuple[float, ...] = (0.0,) * 4
    faulty_shares: tuple[float, ...] = (0.0,) * 4
    period_ms: float = 20_000.0
    fault_ms: float = 8_000.0
    target_ms: float = 415.0
    hedge_ms: float = 415.0

    def share(self, index: int, now_ms: float) -> float:
        """Return the share that a server fails now."""
        is_faulty = now_ms % self.period_ms >= self.period_ms - self.fault_ms
        return (self.faulty_shares if is_faulty else self.shares)[index]


@frozen(kw_only=True)
class RetryResult:
    """What callers saw of lookups and of actions.

    Parameters
    ----------
    lookups, actions : FleetResult
        Times of the answers that were no errors.
    n_lookups_failed, n_actions_failed : int
        Requests that ended with an error.
    n_second : int
        Second attempts.
    """

    lookups: FleetResult
    actions: FleetResult
    n_lookups_failed: int
    n_actions_failed: int
    n_second: int

    def shares(self, target_ms: float) -> dict[str, float]:
        """Return the shares of requests that failed or were late, by name."""
        lookups = len(self.lookups.times_ms) + self.n_lookups_failed
        actions = len(self.actions.times_ms) + self.n_actions_failed
        return {
            "lookups_failed": self.n_lookups_failed / lookups,
            "actions_failed": self.n_actions_failed / actions,
            "lookups_late": _count_late(self.lookups, target_ms) / lookups,
            "actions_late": _count_late(self.actions, target_ms) / actions,
            "second_attempts": self.n_second / (lookups + actions),
        }


def _count_late(result: FleetResult, target_ms: float) -> int:
    return sum(each > target_ms for each in result.times_ms)


@define(eq=False)
class _Request:
    """One caller's request."""

    router: Product
    work_ms: float
    arrived_ms: float
    is_lookup: bool
    tried: frozenset[int] = NO_SERVERS
    # What drops each attempt that is under way.
    drops: list[Callable[[], None]] = field(factory=list)
    n_open: int = 0
    is_over: bool = False


class RetryingFleet(UnevenFleet):
    """Fleet whose lookups may be sent to a second server; actions never are."""

    def __init__(self, *, pattern: FailurePattern, **fields: object) -> None:
        super().__init__(**fields)  # type: ignore[arg-type]
        self._pattern = pattern
        self._failing = Random(7)
        self._routers: list[Product] = []
        self._ended: dict[bool, list[float]] = {False: [], True: []}
        self._n_failed = {False: 0, True: 0}
        self._n_requests = self._n_second = 0

    def run_retries(self, policy: type[Product]) -> RetryResult:
        """Run all arrivals."""

        def build(number: int) -> RouterPolicy:
            self._routers.append(policy(self, number))
            return self._routers[-1]

        self.run(build)
        lookups, actions = (
            FleetResult(times_ms=sorted(self._ended[each]), n_probes=0)
            for each in (True, False)
        )
        return RetryResult(
            lookups=lookups,
            actions=actions,
            n_lookups_failed=self._n_failed[True],
            n_actions_failed=self._n_failed[False],
            n_second=self._n_second,
        )

    def _send(self, router: RouterPolicy, work_ms: float, arrived_ms: float) -> None:
        assert isinstance(router, Product)
        self._n_requests += 1
        is_lookup = self._failing.random() < LOOKUP_SHARE
        request = _Request(router, work_ms, arrived_ms, is_lookup)
        self._attempt(request)
        if is_lookup:
            hedge_ms = arrived_ms + self._pattern.hedge_ms
            self._at(hedge_ms, partial(self._hedge, request))

    def _hedge(self, request: _Request) -> None:
        self._try_second(request)

    def _try_second(self, request: _Request) -> bool:
        if (
            request.is_over
            or len(request.tried) >= N_ATTEMPTS
            or self._n_second >= BUDGET * self._n_requests
        ):
            return False
        self._n_second += 1
        self._attempt(request)
        return True

    def _attempt(self, request: _Request) -> None:
        sent_ms, router = self.now_ms, request.router
        is_last = not request.is_lookup or len(request.tried) == N_ATTEMPTS - 1
        index = router.choose(sent_ms, tried=request.tried, is_last=is_last)
        request.tried |= {index}
        request.n_open += 1
        router.sent(index, sent_ms)
        server = self.servers[index]
        server.coming += 1
        is_failed = self._failing.random() < self._pattern.share(index, sent_ms)

        def done(load: ServerLoad) -> None:
            self._at(self.now_ms + LINK_MS, partial(receive, load))

        def receive(load: ServerLoad) -> None:
            router.answered(index, load, self.now_ms - sent_ms, self.now_ms)
            outcome = ServerOutcome.ERROR_STATUS if is_failed else ServerOutcome.GOOD
            router.ended(index, outcome, self.now_ms)
            request.n_open -= 1
            if is_failed:
                self._at(self.now_ms + PUBLISH_MS, partial(self._publish, router))
            self._finish(request, is_failed=is_failed)

        def reach() -> None:
            server.coming -= 1
            if not request.is_over:
                request.drops.append(self._enqueue(index, request.work_ms, done))

        self._at(sent_ms + LINK_MS, reach)

    def _finish(self, request: _Request, *, is_failed: bool) -> None:
        if request.is_over:
            return
        if is_failed and request.is_lookup and self._try_second(request):
            return
        if is_failed and request.n_open:
            return
        request.is_over = True
        if is_failed:
            self._n_failed[request.is_lookup] += 1
        else:
            duration_ms = self.now_ms - request.arrived_ms
            self._ended[request.is_lookup].append(duration_ms)
        for drop in request.drops:
            drop()

    def _publish(self, sender: Product) -> None:
        if not sender.detector.has_unpublished:
            return
        sender.detector.flush()
        reports, _ = sender.detector.reports_after(
            0, now_ms=self.now_ms, include_relayed=False
        )
        self._at(self.now_ms + LINK_MS, lambda: self._tell_failures(sender, reports))

    def _tell_failures(self, sender: Product, reports: list[FailureReport]) -> None:
        for router in self._routers:
            if router is not sender:
                router.told_failures(reports, self.load.per_s, self.now_ms)
