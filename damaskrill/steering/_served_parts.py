"""Prompt parts that routers know to be sound, as they were served."""

from collections import OrderedDict

from attrs import define

__all__ = ["ServedParts", "soundness_level"]

# Time for which a part that was served is known to be sound. A part that begins to
# crash servers is blocked this much later; popular parts are served more often.
SOUND_MS = 2_000
MAX_PARTS = 8_192
NEVER_MS = float("-inf")


@define
class _Served:
    """When, and how many, requests with a part were served.

    Attributes
    ----------
    at_ms : float
        Last time that this router knows, in milliseconds.
    told_ms : float
        Last time that the other routers know as well.
    n_own : int
        Number of requests that this router has seen served.
    n_told : int
        Largest such number that any router has told.
    """

    at_ms: float = NEVER_MS
    told_ms: float = NEVER_MS
    n_own: int = 0
    n_told: int = 0


class ServedParts:
    """Bounded table of when and how often prompt parts were served.

    Notes
    -----
    The last time decides for some seconds that a part is sound. The number of times is
    remembered for longer, and only compares parts that stand under the same crashes: a
    part that was sound a thousand times may still begin to crash servers.
    """

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
        served = self._find_or_add(part)
        served.at_ms = max(served.at_ms, at_ms)
        if is_told:
            served.told_ms = max(served.told_ms, at_ms)
            served.n_told = max(served.n_told, 1)
        else:
            served.n_own += 1

    def record_told_count(self, part: int, n_served: int) -> bool:
        """Record how often a router has seen a part served; return whether it is news.

        Parameters
        ----------
        part : int
            Short hash of the part.
        n_served : int
            The number that it has told.
        """
        served = self._find_or_add(part)
        is_news = soundness_level(n_served) > soundness_level(served.n_told)
        served.n_told = max(served.n_told, n_served)
        return is_news

    def take_untold_count(self, part: int) -> int:
        """Return how often this router has seen a part served, if others know less.

        Returns
        -------
        int
            0 if the others know it, or know of one that has seen it more often. It
            counts as told from now on.
        """
        served = self._served.get(part)
        if served is None:
            return 0
        if soundness_level(served.n_own) <= soundness_level(served.n_told):
            return 0
        served.n_told = served.n_own
        return served.n_own

    def count(self, part: int) -> int:
        """Return the largest number of served requests that one router has seen."""
        served = self._served.get(part)
        return 0 if served is None else max(served.n_own, served.n_told)

    def _find_or_add(self, part: int) -> _Served:
        served = self._served.setdefault(part, _Served())
        self._served.move_to_end(part)
        if len(self._served) > MAX_PARTS:
            self._served.popitem(last=False)
        return served

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


def soundness_level(n_served: int) -> int:
    """Return how many powers of two a number of served requests has reached."""
    return n_served.bit_length()
