"""Servers that may have started again while the store cannot tell."""

from attrs import define

__all__ = ["ReturningServers"]

ServerKey = tuple[str, int]
# A server that cannot be asked counts as warm after this many cold durations without
# another loss.
UNKNOWN_DURATIONS = 2.0


@define(kw_only=True)
class _Return:
    """Last loss of a server, and until when it has stated to be cold since."""

    lost_at_ms: float
    cold_until_ms: float | None = None


class ReturningServers:
    """Servers to which connections were lost, and which may return cold.

    Notes
    -----
    Load pattern: a server crashes while the store is away, and starts again under its
    ID and address with cold caches. Its entry still names the former process, which was
    warm. All routers would send it its full share at once.

    Until such a server has stated whether it is cold, it counts as cold. Losses count
    from before the store went away as well. While the store answers, the entry of a new
    process tells, and only what a server has stated itself counts beside it.
    """

    def __init__(self) -> None:
        self._returns: dict[ServerKey, _Return] = {}

    @property
    def n_servers(self) -> int:
        """Number of servers that were lost and are not known to be warm."""
        return len(self._returns)

    def record_lost(self, key: ServerKey, now_ms: float) -> None:
        """Record that a connection to a server was lost, or could not be opened."""
        self._returns[key] = _Return(lost_at_ms=now_ms)

    def record_stated(
        self, key: ServerKey, cold_ms: float, *, asked_at_ms: float, now_ms: float
    ) -> None:
        """Record how long a server stays cold.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server, as it is listed.
        cold_ms : float
            Time that it has stated, in milliseconds; 0 if it is not cold.
        asked_at_ms : float
            Time at which it was asked; a later loss makes the statement void.
        now_ms : float
            Current time in milliseconds.
        """
        known = self._returns.get(key)
        if known is None or known.lost_at_ms > asked_at_ms:
            return
        if cold_ms > 0:
            known.cold_until_ms = now_ms + cold_ms
        else:
            del self._returns[key]

    def is_cold(
        self, key: ServerKey, now_ms: float, *, cold_duration_ms: float, is_listed: bool
    ) -> bool:
        """Return whether a server is cold, or may be.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server, as it is listed.
        now_ms : float
            Current time in milliseconds.
        cold_duration_ms : float
            How long servers of its service are cold after their start.
        is_listed : bool
            Whether another process would be listed by now.
        """
        known = self._returns.get(key)
        if known is None:
            return False
        if known.cold_until_ms is not None:
            return now_ms < known.cold_until_ms
        unknown_ms = UNKNOWN_DURATIONS * cold_duration_ms
        return not is_listed and now_ms < known.lost_at_ms + unknown_ms

    def find_unknown(self) -> list[ServerKey]:
        """Return the servers that have stated nothing since a loss."""
        return [
            key for key, each in self._returns.items() if each.cold_until_ms is None
        ]

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard all other incarnations."""
        for key in self._returns.keys() - keys:
            del self._returns[key]

    def discard_ended(self, now_ms: float, max_age_ms: float) -> None:
        """Discard losses that are older, and servers that have become warm.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.
        max_age_ms : float
            Age in milliseconds.
        """
        for key, each in list(self._returns.items()):
            ends_at_ms = each.lost_at_ms + max_age_ms
            if each.cold_until_ms is not None:
                ends_at_ms = each.cold_until_ms
            if now_ms >= ends_at_ms:
                del self._returns[key]
