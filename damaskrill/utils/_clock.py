"""The project's clock type, in whole milliseconds."""

import time
from abc import ABC, abstractmethod

from attrs import define, field

from damaskrill.exceptions import ClockWentBackError

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


def monotonic_now_ms() -> float:
    """Return the steady clock of this process, in milliseconds."""
    return time.monotonic() * MS_PER_S


class Clock(ABC):
    """Source of the present time; it never goes back."""

    @property
    @abstractmethod
    def now_ms(self) -> int:
        """Present time in milliseconds since an arbitrary origin."""


class SystemClock(Clock):
    """Wall clock at construction, then advanced by the monotonic clock.

    Notes
    -----
    Logs of several routers are put in one order by this time, so the origin is the
    Unix epoch; steps of the wall clock after the start are not followed.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    @property
    def now_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return (time.monotonic_ns() + self._offset_ns) // NS_PER_MS


@define(kw_only=True)
class FakeClock(Clock):
    """Clock that moves only when told to.

    Parameters
    ----------
    start_ms : int, default=0
        Time shown at first, in milliseconds.
    """

    start_ms: int = 0
    _now_ms: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._now_ms = self.start_ms

    @property
    def now_ms(self) -> int:
        """Time that was last set, in milliseconds."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward.

        Parameters
        ----------
        duration_ms : int
            Milliseconds to add.
        """
        self.set(self._now_ms + duration_ms)

    def set(self, target_ms: int) -> None:
        """Move the clock to a later time.

        Parameters
        ----------
        target_ms : int
            New time in milliseconds.

        Raises
        ------
        ClockWentBackError
            If ``target_ms`` lies before the present time.
        """
        if target_ms < self._now_ms:
            raise ClockWentBackError(now_ms=self._now_ms, target_ms=target_ms)
        self._now_ms = target_ms
