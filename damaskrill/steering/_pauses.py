"""Pauses that backend servers have asked for."""

from random import Random

__all__ = ["ServerPauses", "spread_retry_after"]

ServerKey = tuple[str, int]
# No server needs a longer pause; a larger value is a mistake.
MAX_PAUSE_MS = 3_600_000.0
# Callers that are refused for the same pause return within this fraction of it, at most
# within the given time.
SPREAD_FRACTION = 0.25
MAX_SPREAD_MS = 1_000.0


class ServerPauses:
    """Backend servers that have asked this router to send nothing for some time.

    Notes
    -----
    Handles a server that sheds load with a stated pause. Such a server is not faulty,
    so it is not ejected: it gets no requests until the pause ends, and its requests go
    to other servers. If all servers of a service have asked for a pause, requests are
    refused at once, because a place is not expected before the shortest pause ends.
    """

    def __init__(self) -> None:
        self._ends_at_ms: dict[ServerKey, float] = {}

    def pause(self, key: ServerKey, duration_ms: float, now_ms: float) -> bool:
        """Record a pause; return whether the server was not paused before."""
        was_paused = self.is_paused(key, now_ms)
        ends_at_ms = now_ms + min(duration_ms, MAX_PAUSE_MS)
        self._ends_at_ms[key] = max(ends_at_ms, self._ends_at_ms.get(key, 0.0))
        return not was_paused

    def is_paused(self, key: ServerKey, now_ms: float) -> bool:
        """Return whether a server must get no requests now."""
        return now_ms < self._ends_at_ms.get(key, 0.0)

    def remaining_ms(self, key: ServerKey, now_ms: float) -> float:
        """Return the remaining pause of a server in milliseconds; 0 if it has none."""
        return max(0.0, self._ends_at_ms.get(key, 0.0) - now_ms)

    def discard_ended(self, now_ms: float) -> None:
        """Discard the pauses that have ended.

        Notes
        -----
        A pause also counts for a server that is out of use for a part of it.
        """
        for key, ends_at_ms in list(self._ends_at_ms.items()):
            if ends_at_ms <= now_ms:
                del self._ends_at_ms[key]


def spread_retry_after(duration_ms: float, random_state: Random) -> int:
    """Return a time after which to retry, so that callers do not return together.

    Parameters
    ----------
    duration_ms : float
        Shortest time after which a retry can succeed, in milliseconds.
    random_state : Random
        Random number generator.

    Returns
    -------
    int
        Milliseconds; never less than the given time.
    """
    spread_ms = min(SPREAD_FRACTION * duration_ms, MAX_SPREAD_MS)
    return int(duration_ms + random_state.uniform(0.0, spread_ms)) + 1
