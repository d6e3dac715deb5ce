"""Requests at one server with few slots."""

import math

from attrs import define, field, frozen

__all__ = ["SlotLease", "SlotServer"]

# Time for which a server that rejected a request beyond its slots gets no more than
# them; it doubles with each further one, up to the longest, and is the shortest again
# after as long without one.
MIN_REJECTION_MS = 2_000
MAX_REJECTION_MS = 64_000
# Weight of one statement in the count of others' requests, since it is some messages
# older or newer than the count of those assigned here; smaller counts are such errors.
COUNT_WEIGHT = 0.2
MIN_OTHERS = 0.75

RequestKey = tuple[str, int]


@frozen(kw_only=True)
class SlotLease:
    """Slot that a router holds.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    assigned_at_ms, expires_at_ms : float
        When it was assigned, and when it counts as free without a release.
    usual_at_ms : float
        Time of the server at usual speed when it was assigned.
    """

    server: int
    assigned_at_ms: float
    expires_at_ms: float
    usual_at_ms: float


@define(kw_only=True)
class SlotServer:
    """Slots of one server."""

    n_slots: int
    is_usable: bool = True
    leases: dict[RequestKey, SlotLease] = field(factory=dict)
    # Requests that were not assigned here, as the server stated them.
    n_others: float = 0.0
    others_at_ms: float = 0.0
    has_load: bool = False
    # Until when its slots in use have been counted, and that time at usual speed.
    counted_at_ms: float = 0.0
    usual_ms: float = 0.0
    # Until when it gets no more than its slots, and for how long after a rejection.
    barred_until_ms: float = -math.inf
    barred_ms: float = MIN_REJECTION_MS

    def n_requests(self, now_ms: float, work_ms: float) -> float:
        """Return the requests there; those of others end within some durations."""
        if self.n_others < MIN_OTHERS:
            return len(self.leases)
        age_ms = now_ms - self.others_at_ms
        others = self.n_others * math.exp(-age_ms / (2 * work_ms))
        return len(self.leases) + (others if others >= MIN_OTHERS else 0.0)

    def add_count(
        self, n_requests: int, at_ms: float, *, gap_ms: float, work_ms: float
    ) -> None:
        """Compare the requests that the server stated with those assigned here.

        Notes
        -----
        Those assigned shortly before had not arrived yet, and of those assigned before
        some have ended since. On average both weigh the same. What earlier statements
        showed has ended in part.
        """
        elapsed_ms = max(0.0, at_ms - self.others_at_ms)
        self.n_others *= math.exp(-elapsed_ms / (2 * work_ms))
        n_own = sum(
            each.assigned_at_ms <= at_ms - gap_ms for each in self.leases.values()
        )
        weight = COUNT_WEIGHT if self.has_load else 1.0
        self.n_others += weight * (n_requests - n_own - self.n_others)
        self.others_at_ms = max(self.others_at_ms, at_ms)
        self.has_load = True

    def observe_rejection(self, now_ms: float) -> None:
        """Note that the server rejected a request since it was full."""
        n_missing = self.n_slots - len(self.leases)
        if n_missing > 0:
            self.n_others = max(self.n_others, float(n_missing))
            self.others_at_ms = now_ms
        if now_ms >= self.barred_until_ms + MAX_REJECTION_MS:
            self.barred_ms = MIN_REJECTION_MS
        if now_ms >= self.barred_until_ms:
            self.barred_until_ms = now_ms + self.barred_ms
            self.barred_ms = min(MAX_REJECTION_MS, 2 * self.barred_ms)
