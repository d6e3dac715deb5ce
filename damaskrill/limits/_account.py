"""Memory that callers make a router hold, and who waits or goes if it is short."""

import math
from collections.abc import Callable
from enum import Enum

from attrs import define

__all__ = ["Eviction", "Hold", "MemoryAccount"]

# A body of 64 kB and its copy; ordinary requests have 55 kB at most.
SMALL_BYTES = 131_072
# Fraction of the account that only small holds may use.
RESERVE_FRACTION = 0.25
# Part of it that no large body uses beside others.
SMALL_FRACTION = 1 / 16
# Fraction of the account up to which requests that are sent ahead are read.
AHEAD_FRACTION = 0.5
# A caller that sends nothing for this long goes first if small requests need memory.
STALL_MS = 500
# Share of the idle timeout after which it goes if others wait, or sends too slowly.
PATIENCE_SHARE = 1 / 3
# Average rate, in bytes per second, below which a caller counts as slow after RATE_MS.
MIN_RATE_BYTES_S = 16_384
RATE_MS = 1_000
# Wait for memory after which a body is given up if no large one makes progress; callers
# wait a second before they give an attempt up.
MAX_WAIT_MS = 1_000
MS_PER_S = 1_000


class Eviction(Enum):
    """Why a hold had to go."""

    MEMORY_FULL = "memory_full"
    MEMORY_WAIT = "memory_wait"
    SLOW_CALLER = "slow_caller"


@define(kw_only=True, eq=False)
class Hold:
    """Bytes of one request or answer.

    Parameters
    ----------
    evict : callable
        Called with the reason when the bytes must be given up.
    is_evictable : bool
        Whether they can be given up; not those of a request that may run.
    is_from_caller : bool
        Whether a caller decides how fast they come or go.
    is_paused : bool
        Whether the router does not read what the caller sends.
    measure : callable or None
        Returns how many bytes are left of an answer that the caller reads.
    n_bytes : int
        Bytes counted.
    since_ms, progress_at_ms : float
        When the caller began to send them, and when the last ones came or went.
    patience_ms : float
        Idle timeout of the caller, which is also its longest wait.
    n_received : int
        Bytes received since then.
    n_later : int
        Further bytes for which a new body asks when it is complete.
    n_wanted : int
        Bytes for which it waits; 0 if it does not.
    """

    evict: Callable[[Eviction], None]
    is_evictable: bool = True
    is_from_caller: bool = True
    is_paused: bool = False
    measure: Callable[[], int] | None = None
    n_bytes: int = 0
    since_ms: float = 0.0
    progress_at_ms: float = 0.0
    patience_ms: float = 15_000.0
    n_received: int = 0
    n_later: int = 0
    n_wanted: int = 0
    waits_since_ms: float = 0.0
    grant: Callable[[], None] | None = None

    def record_received(self, n_bytes: int, now_ms: float) -> None:
        """Record that the caller has sent bytes."""
        self.n_received += n_bytes
        self.progress_at_ms = now_ms

    def begin(self, now_ms: float) -> None:
        """Measure the caller's rate from now."""
        self.since_ms = self.progress_at_ms = now_ms
        self.n_received = 0

    def resume(self, now_ms: float) -> None:
        """Measure the rate of a body under way from now."""
        self.since_ms = self.progress_at_ms = now_ms
        self.n_received = min(1, self.n_received)

    def is_slow(self, now_ms: float, stall_ms: float = STALL_MS) -> bool:
        """Return whether the caller has stopped, or sends slowly."""
        if self.is_paused and self.measure is None:
            return False
        if now_ms - self.progress_at_ms > stall_ms:
            return True
        elapsed_ms = now_ms - self.since_ms
        if self.measure is not None or elapsed_ms <= max(RATE_MS, stall_ms):
            return False
        return self.n_received < MIN_RATE_BYTES_S * elapsed_ms / MS_PER_S


class MemoryAccount:
    """One account for all that callers make a router hold.

    Parameters
    ----------
    capacity_bytes : int
        Bytes of all holds together.

    Notes
    -----
    It answers these loads: bodies far over the limit or just short of their end, on
    many connections at once; answers that callers do not read; answers of servers that
    do not end. A large body waits until there is room, so that many uploads in calm are
    served one after another. Who holds much and sends or reads slowly goes first, and
    the last quarter is kept for small requests, and for one body under way at a time,
    so that bodies do not wait for each other. A single large body always has room.
    """

    def __init__(self, *, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._large_limit = int(capacity_bytes * (1 - RESERVE_FRACTION))
        self._holds: set[Hold] = set()
        self._waiting: list[Hold] = []
        self._n_bytes = 0
        self._max_bytes = 0
        # The one hold that may use the reserve to be completed.
        self._favoured: Hold | None = None
        self._released_ms = -math.inf
        self._has_released = False

    @property
    def n_bytes(self) -> int:
        """Bytes of all holds together."""
        return self._n_bytes

    @property
    def max_bytes(self) -> int:
        """Largest number of bytes so far."""
        return self._max_bytes

    @property
    def has_room(self) -> bool:
        """Whether no hold waits, and a good part is free."""
        return not self._waiting and self._n_bytes < self._capacity * AHEAD_FRACTION

    @property
    def n_waiting(self) -> int:
        """Number of holds that wait for memory."""
        return len(self._waiting)

    def charge(self, hold: Hold, n_bytes: int, now_ms: float) -> None:
        """Set the bytes of a hold that cannot wait; evict others, or it, if needed."""
        self._set(hold, n_bytes)
        if self._n_bytes > self._capacity:
            self._make_room(hold, now_ms)
        self._max_bytes = max(self._max_bytes, self._n_bytes)

    def request(
        self, hold: Hold, n_bytes: int, now_ms: float, grant: Callable[[], None]
    ) -> bool:
        """Ask for memory; return whether the hold has it now, or `grant` is called."""
        is_growing = hold.n_received > 0
        if (is_growing or not self._waiting) and self._fits(hold, n_bytes):
            self._set(hold, n_bytes)
            self._max_bytes = max(self._max_bytes, self._n_bytes)
            return True
        hold.n_wanted, hold.grant, hold.waits_since_ms = n_bytes, grant, now_ms
        self._waiting.append(hold)
        return False

    def release(self, hold: Hold) -> None:
        """Give all bytes of a hold back."""
        if hold.n_bytes > SMALL_BYTES:
            self._has_released = True
        if hold is self._favoured:
            self._favoured = None
        self._set(hold, 0)
        self._stop_waiting(hold)

    def review(self, now_ms: float) -> None:
        """Grant what fits, evict slow callers if others wait, and end long waits."""
        if self._has_released:
            self._has_released, self._released_ms = False, now_ms
        self._grant_fitting(now_ms)
        while self._waiting and (slow := self._find_slow(now_ms)) is not None:
            self._evict(slow, Eviction.SLOW_CALLER)
            self._grant_fitting(now_ms)
        if self._waiting and not self._has_progress(now_ms):
            while self._find_long_wait(now_ms, MAX_WAIT_MS) is not None:
                stalled = self._find_slow(now_ms, MAX_WAIT_MS)
                if stalled is None:
                    break
                self._evict(stalled, Eviction.SLOW_CALLER)
                self._grant_fitting(now_ms)
            self._end_waits(now_ms, MAX_WAIT_MS)
        self._end_waits(now_ms)

    def _find_long_wait(
        self, now_ms: float, limit_ms: float | None = None
    ) -> Hold | None:
        for hold in self._waiting:
            limit = hold.patience_ms if limit_ms is None else limit_ms
            if now_ms - hold.waits_since_ms > limit:
                return hold
        return None

    def _end_waits(self, now_ms: float, limit_ms: float | None = None) -> None:
        while (hold := self._find_long_wait(now_ms, limit_ms)) is not None:
            self._evict(hold, Eviction.MEMORY_WAIT)
            self._grant_fitting(now_ms)
            if limit_ms is not None and self._has_progress(now_ms):
                return

    def _has_progress(self, now_ms: float) -> bool:
        since_ms = now_ms - MAX_WAIT_MS
        return self._released_ms >= since_ms or any(
            hold.progress_at_ms >= since_ms
            for hold in list(self._holds)
            if hold.n_bytes > SMALL_BYTES and hold.is_from_caller
        )

    def _grant_fitting(self, now_ms: float) -> None:
        # Bodies under way go first: when they end, they release what they hold.
        for hold in sorted(
            self._waiting, key=lambda each: (each.n_received == 0, -each.n_bytes)
        ):
            fits = self._fits(hold, hold.n_wanted)
            if not fits and self._may_use_reserve(hold):
                self._favoured, fits = hold, True
            if fits:
                n_bytes, grant = hold.n_wanted, hold.grant
                self._stop_waiting(hold)
                self._set(hold, n_bytes)
                self._max_bytes = max(self._max_bytes, self._n_bytes)
                hold.begin(now_ms)
                if grant is not None:
                    grant()

    def _may_use_reserve(self, hold: Hold) -> bool:
        n_bytes = self._n_bytes - hold.n_bytes + hold.n_wanted
        if not hold.n_received or n_bytes > self._capacity * (1 - SMALL_FRACTION):
            return False
        # Large bodies that are served end by themselves.
        return self._favoured in {None, hold} and not any(
            each.n_bytes > SMALL_BYTES and not each.is_evictable
            for each in list(self._holds)
        )

    def _find_slow(self, now_ms: float, stall_ms: float | None = None) -> Hold | None:
        self._measure(now_ms)
        slow = [
            hold
            for hold in list(self._holds)
            if hold.is_evictable
            and hold.is_from_caller
            and not hold.n_wanted
            and hold.is_slow(
                now_ms,
                hold.patience_ms * PATIENCE_SHARE if stall_ms is None else stall_ms,
            )
        ]
        return max(slow, key=lambda each: each.n_bytes, default=None)

    def _fits(self, hold: Hold, n_bytes: int) -> bool:
        others = self._n_bytes - hold.n_bytes
        if n_bytes <= SMALL_BYTES:
            return others + n_bytes <= self._capacity
        if not hold.n_received:
            n_bytes += hold.n_later
        if others + n_bytes <= self._large_limit:
            return True
        return n_bytes > self._large_limit and not any(
            each.n_bytes > SMALL_BYTES for each in list(self._holds) if each is not hold
        )

    def _make_room(self, newcomer: Hold, now_ms: float) -> None:
        self._measure(now_ms)
        while max(newcomer.n_bytes, self._capacity) < self._n_bytes:
            victims = [
                hold
                for hold in list(self._holds)
                if hold.is_evictable
                and (hold is not newcomer or hold.n_bytes > SMALL_BYTES)
            ]
            if not victims and newcomer.is_evictable:
                victims = [newcomer]
            if not victims:
                return
            victim = max(victims, key=lambda each: _rank(each, now_ms))
            self._evict(victim, Eviction.MEMORY_FULL)
            if victim is newcomer:
                return

    def _measure(self, now_ms: float) -> None:
        for hold in list(self._holds):
            if hold.measure is not None:
                n_bytes = hold.measure()
                if n_bytes < hold.n_bytes:
                    hold.progress_at_ms = now_ms
                    self._set(hold, n_bytes)

    def _evict(self, hold: Hold, reason: Eviction) -> None:
        self.release(hold)
        hold.evict(reason)

    def _set(self, hold: Hold, n_bytes: int) -> None:
        self._n_bytes += n_bytes - hold.n_bytes
        hold.n_bytes = n_bytes
        if n_bytes:
            self._holds.add(hold)
        else:
            self._holds.discard(hold)

    def _stop_waiting(self, hold: Hold) -> None:
        if hold.n_wanted:
            hold.n_wanted, hold.grant = 0, None
            self._waiting.remove(hold)


def _rank(hold: Hold, now_ms: float) -> tuple[bool, int, float]:
    """Return a key that is highest for the slow and largest."""
    is_slow = hold.is_from_caller and not hold.n_wanted and hold.is_slow(now_ms)
    return is_slow, hold.n_bytes, now_ms - hold.since_ms
