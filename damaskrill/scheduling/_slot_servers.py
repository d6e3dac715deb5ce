"""Slots of a service's servers: what runs where, and the choice of a server."""

import math
from collections.abc import Callable, Iterator, Mapping

from damaskrill.scheduling._slot_server import SlotLease, SlotServer
from damaskrill.scheduling._work_time import WorkTime
from damaskrill.steering import ServerLoad, ServerSpeeds, expected_time_ms

__all__ = ["SlotServers"]

# Time from which an assigned slot counts as lost if the server states fewer requests,
# in usual durations.
LOST_AFTER_DURATIONS = 6
# Time that an assignment may take longer than usual to reach its server.
SENT_SLACK_MS = 5
# Age of a statement, in durations, from which its count says nothing.
MAX_COUNT_AGE = 0.5
# Requests that a server states at most, in slots.
MAX_REQUESTS = 10
# Part of a slot that may be idle before a server gets one more request to keep it busy.
IDLE_SLOTS = 0.1
# Time for which a scheduler that took over does not fill servers of unknown load:
# longer than the interval of the reports of loads between routers.
TAKEOVER_MS = 400
# A busy server is waited for if its answer is expected in less than this part of the
# time that a free one takes: speeds change while a request waits or runs.
HOLD_FACTOR = 0.6
# A free server at which work takes less than this many times the usual time is used
# whatever the mean says of the time left: neighbours on a host slow work 2.5 times.
NEAR_USUAL_SLOWNESS = 3.0

RequestKey = tuple[str, int]


class SlotServers:
    """Servers of a service with the slots that were assigned.

    Parameters
    ----------
    started_at_ms : float
        When the scheduling began, in milliseconds.
    is_takeover : bool
        Whether another scheduler may have assigned slots before.

    Notes
    -----
    Handles servers with few slots that reject what they cannot queue, behind routers
    that each see a small part of the requests. A server's count is its assigned slots
    and the averaged difference to the loads that it states, so that requests of routers
    that do not ask are counted too.
    """

    def __init__(self, *, started_at_ms: float, is_takeover: bool) -> None:
        self._servers: dict[int, SlotServer] = {}
        self._leases: dict[RequestKey, SlotLease] = {}
        self._speeds = ServerSpeeds()
        self._work = WorkTime()
        self._cautious_until_ms = started_at_ms + TAKEOVER_MS if is_takeover else 0.0

    @property
    def work_ms(self) -> float:
        """Usual time of a request on a free server, in milliseconds."""
        return self._work.work_ms

    @property
    def n_assigned(self) -> int:
        """Number of assigned slots."""
        return len(self._leases)

    @property
    def next_expiry_ms(self) -> float:
        """When the first assigned slot expires; infinite if none is assigned."""
        expiries = (each.expires_at_ms for each in self._leases.values())
        return min(expiries, default=math.inf)

    def is_servable(self, excluded: frozenset[int]) -> bool:
        """Return whether some server outside a set may get requests."""
        return any(server not in excluded for server, _ in self._usable())

    def is_usable(self, server: int, excluded: frozenset[int]) -> bool:
        """Return whether a server may get a request that excludes some."""
        return server not in excluded and self._servers[server].is_usable

    def set_servers(self, servers: Mapping[int, int]) -> bool:
        """Set the slots of the servers that may get requests now.

        Returns
        -------
        bool
            Whether slots were lost.
        """
        n_before = self._n_slots
        for server, n_slots in servers.items():
            known = self._servers.setdefault(server, SlotServer(n_slots=n_slots))
            known.n_slots, known.is_usable = max(1, n_slots), True
        for server, known in list(self._servers.items()):
            if server not in servers:
                known.is_usable = False
                if not known.leases:
                    del self._servers[server]
                    self._speeds.forget(server)
        return self._n_slots < n_before

    def observe_load(
        self,
        server: int,
        load: ServerLoad,
        now_ms: float,
        age_ms: float,
        *,
        ended: RequestKey | None = None,
    ) -> None:
        """Apply a load that a server stated some time ago.

        Notes
        -----
        It may leave out the request that ended with it.
        """
        known = self._servers.get(server)
        if known is None:
            return
        age_ms = max(0.0, age_ms)
        self._speeds.observe(server, load, now_ms, age_ms)
        # Another scheduler may have filled the server since.
        is_careful = now_ms < self._cautious_until_ms
        is_old = age_ms > MAX_COUNT_AGE * self.work_ms
        if known.has_load and is_old and not is_careful:
            # What ran there then has ended since.
            return
        # A server does not queue many times its slots: a larger figure is wrong.
        n_requests = min(max(0, load.n_requests), MAX_REQUESTS * known.n_slots)
        # Until a newer statement, the first one holds, so that a scheduler that takes
        # over is careful.
        counted_at_ms = now_ms - age_ms if known.has_load else now_ms
        known.add_count(
            n_requests, counted_at_ms, gap_ms=self._work.gap_ms, work_ms=self.work_ms
        )
        if is_careful:
            known.others_at_ms = now_ms
        at_ms = now_ms - age_ms
        sent_by_ms = at_ms - self._work.gap_ms - SENT_SLACK_MS
        running = {
            key: lease
            for key, lease in known.leases.items()
            if key != ended and lease.assigned_at_ms <= sent_by_ms
        }
        # The release of these was lost: the server does not run them.
        oldest_ms = at_ms - LOST_AFTER_DURATIONS * self.work_ms
        old = [key for key, x in running.items() if x.assigned_at_ms < oldest_ms]
        for key in old[: max(0, len(running) - n_requests)]:
            self.release(key, now_ms, is_unused=True)

    def find(self, key: RequestKey) -> SlotLease | None:
        """Return the slot of a request; None if it has none."""
        return self._leases.get(key)

    def assign(
        self, key: RequestKey, server: int, *, now_ms: float, expires_at_ms: float
    ) -> None:
        """Assign a slot of a server to a request."""
        self._count_busy(server, now_ms)
        lease = SlotLease(
            server=server,
            assigned_at_ms=now_ms,
            expires_at_ms=expires_at_ms,
            usual_at_ms=self._servers[server].usual_ms,
        )
        self._leases[key] = self._servers[server].leases[key] = lease

    def release(
        self, key: RequestKey, now_ms: float, *, is_unused: bool = False
    ) -> SlotLease | None:
        """Free the slot of a request; return None if it has none.

        Notes
        -----
        The time of a slot in which nothing ran, as far as is known, does not count.
        """
        lease = self._leases.pop(key, None)
        if lease is None:
            return None
        self._count_busy(lease.server, now_ms)
        server = self._servers[lease.server]
        if is_unused:
            counted = min(1.0, server.n_slots / len(server.leases))
            self._work.add_busy(counted * (lease.usual_at_ms - server.usual_ms))
        del server.leases[key]
        if not server.is_usable and not server.leases:
            del self._servers[lease.server]
            self._speeds.forget(lease.server)
        return lease

    def learn_time(
        self, lease: SlotLease, *, duration_ms: float, now_ms: float
    ) -> None:
        """Learn how long requests take from one that completed."""
        held_ms = now_ms - lease.assigned_at_ms
        self._work.add_end(duration_ms=duration_ms, held_ms=held_ms)

    def _count_busy(self, server: int, now_ms: float) -> None:
        """Count the time since the server's slots changed last."""
        known = self._servers[server]
        if not known.leases:
            known.counted_at_ms = now_ms
        # After a pause of this process, requests had ended by their limits.
        last_ms = max((x.expires_at_ms for x in known.leases.values()), default=now_ms)
        elapsed_ms = min(now_ms, last_ms) - known.counted_at_ms
        if elapsed_ms <= 0:
            return
        usual_ms = elapsed_ms / self._speeds.slowness(server, now_ms)
        self._work.add_busy(min(len(known.leases), known.n_slots) * usual_ms)
        known.usual_ms += usual_ms
        known.counted_at_ms = now_ms

    def observe_rejection(self, server: int, now_ms: float) -> None:
        """Note that a server rejected a request since it was full."""
        known = self._servers.get(server)
        if known is not None:
            known.observe_rejection(now_ms)

    def expire(self, now_ms: float) -> int:
        """Free the slots whose time is over; return their number."""
        expired = [
            key for key, each in self._leases.items() if each.expires_at_ms <= now_ms
        ]
        for key in expired:
            self.release(key, now_ms, is_unused=True)
        return len(expired)

    def drain_per_s(self, now_ms: float) -> float:
        """Return how many requests a second the servers complete now, if all are busy.

        Notes
        -----
        Slots that others use do not count.
        """
        return self._rate_per_s(
            lambda server: self._speeds.slowness(server, now_ms), now_ms
        )

    def capacity_per_s(self, now_ms: float) -> float:
        """Return how many requests a second they complete at their mean speeds.

        Notes
        -----
        Speeds change several times a second; what teams may take does not.
        """
        return self._rate_per_s(self._speeds.mean, now_ms)

    def _rate_per_s(self, slowness: Callable[[int], float], now_ms: float) -> float:
        total = 0.0
        for server, known in self._usable():
            n_others = known.n_requests(now_ms, self.work_ms) - len(known.leases)
            total += max(0.0, known.n_slots - n_others) / slowness(server)
        return 1_000 * total / self.work_ms

    def find_open(self, now_ms: float) -> frozenset[int]:
        """Return the servers that may get one more request."""
        return frozenset(
            server
            for server, known in self._usable()
            if known.n_requests(now_ms, self.work_ms) + 1
            <= self._bound(server, known, now_ms)
        )

    def choose(
        self,
        excluded: frozenset[int],
        *,
        n_before: float,
        limit_left_ms: float,
        now_ms: float,
    ) -> int | None:
        """Return the server that is expected to answer a request first.

        Parameters
        ----------
        excluded : frozenset of int
            Servers that may not run it.
        n_before : float
            Number of requests that wait for busy servers before it; infinite if it is
            not to wait.
        limit_left_ms : float
            Time left for its answer, in milliseconds; servers that are expected to take
            longer cannot run it, unless they have a free slot and near their usual
            speed.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        server : int or None
            None if no server has a free slot, or if a busy one is expected to answer
            earlier than those that have.
        """
        best: tuple[float, int] | None = None
        busy_per_ms = 0.0
        busy_run_ms = math.inf
        for server, known in self._usable():
            if server in excluded:
                continue
            slowness = self._speeds.slowness(server, now_ms)
            run_ms = self.work_ms * slowness
            n_requests = known.n_requests(now_ms, self.work_ms)
            if n_requests + 1 > self._bound(server, known, now_ms):
                busy_per_ms += known.n_slots / run_ms
                busy_run_ms = min(busy_run_ms, run_ms)
                continue
            expected_ms = self._expected_ms(server, now_ms)
            # The mean says little of one request where short and long ones are mixed.
            is_free = n_requests + 1 <= known.n_slots
            if expected_ms > limit_left_ms and not (
                is_free and slowness < NEAR_USUAL_SLOWNESS
            ):
                continue
            rank = (expected_ms + n_requests / known.n_slots, server)
            if best is None or rank < best:
                best = rank
        if best is None:
            return None
        if busy_per_ms > 0:
            held_ms = (n_before + 1) / busy_per_ms + busy_run_ms
            if held_ms < HOLD_FACTOR * best[0]:
                return None
        return best[1]

    def _expected_ms(self, server: int, now_ms: float) -> float:
        known = self._servers[server]
        return expected_time_ms(
            n_ahead=known.n_requests(now_ms, self.work_ms),
            n_slots=known.n_slots,
            slowness=self._speeds.slowness(server, now_ms),
            work_ms=self.work_ms,
        )

    def _bound(self, server: int, known: SlotServer, now_ms: float) -> int:
        """Return how many requests a server may have.

        Notes
        -----
        What would keep its slots busy while releases and assignments are on their way
        waits at the server, unless it has rejected such a request.
        """
        if now_ms < self._cautious_until_ms and not known.has_load:
            return max(1, known.n_slots // 3)
        if now_ms < known.barred_until_ms:
            return known.n_slots
        run_ms = self.work_ms * self._speeds.slowness(server, now_ms)
        n_idle = known.n_slots * self._work.gap_ms / run_ms
        # A larger excess would be a wrong figure: slots do not end twice a round trip.
        return known.n_slots + min(known.n_slots, math.ceil(n_idle - IDLE_SLOTS))

    @property
    def _n_slots(self) -> int:
        return sum(each.n_slots for _, each in self._usable())

    def _usable(self) -> Iterator[tuple[int, SlotServer]]:
        for server, known in self._servers.items():
            if known.is_usable:
                yield server, known
