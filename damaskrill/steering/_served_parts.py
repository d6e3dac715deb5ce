"""Prompt parts that routers know to be sound, as they were served."""

from collections import OrderedDict

from attrs import define

__all__ = ["ServedParts"]

# Time for which a part that was served is known to be sound. A part that begins to
# crash servers is blocked this much later; popular parts are served more often.
SOUND_MS = 2_000
MAX_PARTS = 8_192
NEVER_MS = float("-inf")


@define
class _Served:
    """When requests with a part were served.

    Attributes
    ----------
    at_ms : float
        Last time that this router knows, in milliseconds.
    told_ms : float
        Last time that the other routers know as well.
    """

    at_ms: float = NEVER_MS
    told_ms: float = NEVER_MS


class ServedParts:
    """Bounded table of the last times at which prompt parts were served."""

    def __init__(self) -> None:
        self._served: OrderedDict[int, _Served] = OrderedDict()

    def __len__(self) -> int:
        return len(self._served)

    def record(self, part: int, at_ms: float, *, is_told: bool) -> None:
        """Record that a request with a part was served.

        Parameters
        ----------
        part : int
            Short hash of the part.
        at_ms : float
            Time in milliseconds.
        is_told : bool
            Whether other routers know it as well.
        """
        served = self._served.setdefault(part, _Served())
        self._served.move_to_end(part)
        if len(self._served) > MAX_PARTS:
            self._served.popitem(last=False)
        served.at_ms = max(served.at_ms, at_ms)
        if is_told:
            served.told_ms = max(served.told_ms, at_ms)

    def told_ms(self, part: int) -> float:
        """Return the last time of which other routers know, in milliseconds."""
        served = self._served.get(part)
        return NEVER_MS if served is None else served.told_ms

    def find_untold(self, part: int, crashed_at_ms: float) -> float | None:
        """Return a time of which the others must know, None if there is none.

        Parameters
        ----------
        part : int
            Short hash of the part.
        crashed_at_ms : float
            Time of a crash that counts against the part elsewhere, in milliseconds.
        """
        served = self._served.get(part)
        if served is None:
            return None
        is_known = crashed_at_ms <= served.told_ms + SOUND_MS
        if is_known or crashed_at_ms > served.at_ms + SOUND_MS:
            return None
        return served.at_ms

    def is_sound(self, part: int, at_ms: float) -> bool:
        """Return whether a part did not cause a crash at a time."""
        served = self._served.get(part)
        return served is not None and at_ms <= served.at_ms + SOUND_MS
