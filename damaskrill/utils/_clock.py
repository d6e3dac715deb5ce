"""Clocks with a resolution of one millisecond."""

import time
from abc import ABC, abstractmethod

from attrs import define, field

from damaskrill.exceptions import ClockWentBackError

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


def monotonic_now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * MS_PER_S


class Clock(ABC):
    """Source of the current time, which never decreases."""

    @property
    @abstractmethod
    def now_ms(self) -> int:
        """Current time in milliseconds since an arbitrary origin."""


class SystemClock(Clock):
    """Clock that is set from the wall clock once and advanced by the monotonic clock.

    Notes
    -----
    The origin is the Unix epoch, since logs of several routers are merged by this
    time. Adjustments of the wall clock after the start are ignored.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    @property
    def now_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return (time.monotonic_ns() + self._offset_ns) // NS_PER_MS


@define(kw_only=True)
class FakeClock(Clock):
    """Clock that advances only by explicit calls.

    Parameters
    ----------
    start_ms : int, default=0
        Initial time in milliseconds.
    """

    start_ms: int = 0
    _now_ms: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._now_ms = self.start_ms

    @property
    def now_ms(self) -> int:
        """Current time of this clock in milliseconds."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Advance the clock by a duration.

        Parameters
        ----------
        duration_ms : int
            Milliseconds to add.
        """
        self.set(self._now_ms + duration_ms)

    def set(self, target_ms: int) -> None:
        """Set the clock to a later time.

        Parameters
        ----------
        target_ms : int
            New time in milliseconds.

        Raises
        ------
        ClockWentBackError
            If ``target_ms`` is earlier than the current time.
        """
        if target_ms < self._now_ms:
            raise ClockWentBackError(now_ms=self._now_ms, target_ms=target_ms)
        self._now_ms = target_ms
