"""Rate limit for the control traffic of a router."""

from collections import deque
from collections.abc import Iterable

import attrs

from damaskrill.control._classes import ControlClass, control_class_of, wire_size
from damaskrill.messages import Message, PeerDelivered, ReadLoad, SendToPeer

__all__ = ["ControlBudget"]

BYTES_PER_S = 5_000
# Burst that a router may use after an idle period, to join a fleet or to send large
# changes.
BURST_BYTES = 50_000
MAX_DEFERRED = 256
WINDOW_MS = 1_000

# Percentage of the burst that must be left for a message of a class to be sent. The
# most urgent class may overdraw the budget.
RESERVE_PERCENT = {
    ControlClass.MEMBERSHIP: -100,
    ControlClass.CONFIGURATION: 0,
    ControlClass.LOAD: 20,
    ControlClass.REST: 40,
}
# Load reads are dropped before load sums, because the load bounds of owners depend on
# the sums.
LOAD_READ_RESERVE_PERCENT = 30
# Load sums are superseded by the next ones; the classes not listed here are deferred.
DROPPED_CLASSES = frozenset({ControlClass.MEMBERSHIP, ControlClass.LOAD})


@attrs.define(kw_only=True)
class _ClassCounters:
    """Byte and message counters of one class."""

    n_bytes_sent: int = 0
    n_bytes_received: int = 0
    n_messages: int = 0
    n_dropped: int = 0
    n_deferred: int = 0


class ControlBudget:
    """Token bucket for all control traffic of a process.

    Parameters
    ----------
    bytes_per_s : int, default=5000
        Long-run rate in bytes per second, sent and received together.
    burst_bytes : int, default=50000
        Capacity of the bucket in bytes.

    Notes
    -----
    Received messages cannot be refused, but they reduce the bytes that may be sent.
    """

    def __init__(
        self, *, bytes_per_s: int = BYTES_PER_S, burst_bytes: int = BURST_BYTES
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._tokens = float(burst_bytes)
        self._refilled_at_ms: int | None = None
        self._counters = {each: _ClassCounters() for each in ControlClass}
        self._deferred: dict[ControlClass, deque[Message]] = {
            each: deque() for each in ControlClass
        }
        self._window_started_ms = 0
        self._window_bytes = 0
        self._last_window_bytes = 0

    @property
    def bytes_last_second(self) -> int:
        """Control bytes sent and received in the last complete second."""
        return self._last_window_bytes

    @property
    def tokens(self) -> int:
        """Bytes in the bucket; negative if it is overdrawn."""
        return int(self._tokens)

    def n_bytes_sent(self, control_class: ControlClass) -> int:
        """Return the number of bytes sent in a class."""
        return self._counters[control_class].n_bytes_sent

    def n_bytes_received(self, control_class: ControlClass) -> int:
        """Return the number of bytes received in a class."""
        return self._counters[control_class].n_bytes_received

    def n_messages(self, control_class: ControlClass) -> int:
        """Return the number of messages and probes sent in a class."""
        return self._counters[control_class].n_messages

    def n_dropped(self, control_class: ControlClass) -> int:
        """Return the number of messages of a class that the budget dropped."""
        return self._counters[control_class].n_dropped

    def charge_received(self, message: Message, now_ms: int) -> None:
        """Charge a received message if it is control traffic."""
        self._advance(now_ms)
        if isinstance(message, PeerDelivered):
            control_class = control_class_of(message.payload)
            if control_class is not None:
                n_bytes = wire_size(message.payload)
                self._counters[control_class].n_bytes_received += n_bytes
                self._charge(n_bytes)

    def filter(self, effects: Iterable[Message], now_ms: int) -> list[Message]:
        """Return the effects that may be executed now, including deferred ones.

        Parameters
        ----------
        effects : iterable of Message
            Effects of the deciders.
        now_ms : int
            Current time in milliseconds.
        """
        self._advance(now_ms)
        admitted = self._release()
        for effect in effects:
            control_class = _class_of_effect(effect)
            if control_class is None or self._admit(effect, control_class):
                admitted.append(effect)
        return admitted

    def _release(self) -> list[Message]:
        released: list[Message] = []
        for control_class, deferred in self._deferred.items():
            while deferred and self._has_budget(control_class, deferred[0]):
                effect = deferred.popleft()
                self._spend(effect, control_class)
                released.append(effect)
        return released

    def _admit(self, effect: Message, control_class: ControlClass) -> bool:
        deferred = self._deferred[control_class]
        if not deferred and self._has_budget(control_class, effect):
            self._spend(effect, control_class)
            return True
        counters = self._counters[control_class]
        if control_class in DROPPED_CLASSES or len(deferred) >= MAX_DEFERRED:
            counters.n_dropped += 1
            return False
        counters.n_deferred += 1
        deferred.append(effect)
        return False

    def _has_budget(self, control_class: ControlClass, effect: Message) -> bool:
        percent = RESERVE_PERCENT[control_class]
        if isinstance(effect, ReadLoad):
            percent = LOAD_READ_RESERVE_PERCENT
        return self._tokens > self._burst_bytes * percent / 100

    def _spend(self, effect: Message, control_class: ControlClass) -> None:
        payload = effect.payload if isinstance(effect, SendToPeer) else effect
        n_bytes = wire_size(payload)
        counters = self._counters[control_class]
        counters.n_messages += 1
        counters.n_bytes_sent += n_bytes
        self._charge(n_bytes)

    def _charge(self, n_bytes: int) -> None:
        self._tokens = max(-float(self._burst_bytes), self._tokens - n_bytes)
        self._window_bytes += n_bytes

    def _advance(self, now_ms: int) -> None:
        if self._refilled_at_ms is None:
            self._refilled_at_ms = now_ms
            self._window_started_ms = now_ms
        refill = (now_ms - self._refilled_at_ms) * self._bytes_per_s / 1_000
        self._tokens = min(float(self._burst_bytes), self._tokens + refill)
        self._refilled_at_ms = now_ms
        if now_ms - self._window_started_ms >= WINDOW_MS:
            self._last_window_bytes = self._window_bytes
            self._window_bytes = 0
            self._window_started_ms = now_ms


def _class_of_effect(effect: Message) -> ControlClass | None:
    if isinstance(effect, SendToPeer):
        return control_class_of(effect.payload)
    return control_class_of(effect)
