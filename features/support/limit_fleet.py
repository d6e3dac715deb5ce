"""Routers on a virtual clock that all have requests for one limited server.

Routers are killed, started and cut off from each other. What each of them knows about
the others follows from whom it has seen since its start, as in `MemberTable`.
"""

from bisect import bisect_right
from random import Random

from damaskrill.steering import FleetRateLimiter, FleetSize

__all__ = ["LimitFleet", "max_within"]

SERVER_KEY = ("e-0", 0)
TICK_MS = 10
OBSERVE_MS = 250
# Time until a router that has started meets others, and until one that is gone is
# taken for dead.
CONTACT_MS = 300
EXPIRY_MS = 2_500
# Time for which the table of members remembers a router that it has removed.
REMEMBERED_MS = 60_000
N_SEEDS = 3
NETWORK_DELAY_MS = (0.5, 60.0)


class LimitedRouter:
    """One router over all its successive processes."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.address = f"r-{number}"
        self.island = 0
        self.start(0.0)

    def start(self, now_ms):
        self.started_at_ms = now_ms
        self.seen = {}
        self.limiter = FleetRateLimiter(own_address=self.address, started_at_ms=now_ms)
        self.size = FleetSize(
            own_address=self.address,
            seeds=[f"r-{number}" for number in range(N_SEEDS)],
            started_at_ms=now_ms,
        )

    def is_up(self, now_ms):
        return now_ms >= self.started_at_ms

    def is_met(self, now_ms):
        return now_ms >= self.started_at_ms + CONTACT_MS

    def observe(self, now_ms, met_by_island):
        if not self.is_met(now_ms):
            return
        met = met_by_island[self.island]
        self.seen.update(dict.fromkeys(met, now_ms))
        alive = self._seen_since(now_ms - EXPIRY_MS)
        self.size.observe(alive, n_told=max(each.size.largest for each in met.values()))
        self.tell_limiter(alive, self._seen_since(now_ms - EXPIRY_MS - REMEMBERED_MS))

    def tell_limiter(self, alive, known):
        """Hand over what `GatewayProcess` hands to the limiter."""
        self.limiter.set_members(alive, n_known=self.size.estimate)

    def _seen_since(self, since_ms):
        seen = {each for each, at_ms in self.seen.items() if at_ms > since_ms}
        return frozenset(seen | {self.address})


class LimitFleet:
    """Routers, and when the limited server got their requests."""

    def __init__(self, *, n, limit, random_state=0):
        self.random = Random(random_state)
        self.limit = limit
        self.now_ms = 0.0
        self.routers = [LimitedRouter(self, number) for number in range(n)]
        self.arrivals = []

    def run(self, until_ms, *, is_cold=True):
        """Advance the clock; the server takes requests only if it is cold."""
        while self.now_ms < until_ms:
            if self.now_ms % OBSERVE_MS == 0:
                self._observe()
            if is_cold:
                self._send_all()
            self.now_ms += TICK_MS

    def kill(self, router, *, away_ms):
        router.start(self.now_ms + away_ms)

    def kill_all(self, *, away_ms):
        for router in self.routers:
            self.kill(router, away_ms=away_ms)

    def cut(self, n_islands):
        for number, router in enumerate(self.routers):
            router.island = number % n_islands

    def _observe(self):
        met_by_island = {}
        for router in self.routers:
            met = met_by_island.setdefault(router.island, {})
            if router.is_met(self.now_ms):
                met[router.address] = router
        for router in self.routers:
            router.observe(self.now_ms, met_by_island)

    def _send_all(self):
        up = [each for each in self.routers if each.is_up(self.now_ms)]
        self.random.shuffle(up)
        for router in up:
            # Network delays may let requests of a longer time arrive in one second.
            while not router.limiter.wait_ms(SERVER_KEY, self.limit, self.now_ms):
                router.limiter.acquire(SERVER_KEY, self.now_ms)
                self.arrivals.append(
                    self.now_ms + self.random.uniform(*NETWORK_DELAY_MS)
                )


def max_within(times, window_ms):
    """Return the largest number of times within any window."""
    times = sorted(times)
    return max(
        (
            bisect_right(times, start + window_ms) - number
            for number, start in enumerate(times)
        ),
        default=0,
    )
