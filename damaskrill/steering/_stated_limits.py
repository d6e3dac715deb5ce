"""Request rates that backend servers state as the most they take."""

from attrs import frozen

from damaskrill.steering._gossip import short_server_id

__all__ = ["StatedLimits"]

ServerKey = tuple[str, int]
# A limit that differs by a smaller fraction from the known one is treated as the same.
MIN_CHANGE = 0.05


@frozen
class _Statement:
    """What a server stated last.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all routers together; None if it states no limit.
    at_ms : float
        Local time of the answer in milliseconds.
    """

    per_s: float | None
    at_ms: float


class StatedLimits:
    """Limits that servers state in their answers, for as long as they state them.

    Notes
    -----
    Handles a server that cannot process its share of the requests: it states how many
    requests per second it takes from the whole fleet, and omits the limit from its
    answers when it no longer needs one.
    """

    def __init__(self) -> None:
        # By short hash of the server's incarnation; only servers that have stated one.
        self._statements: dict[int, _Statement] = {}

    @property
    def n_limited(self) -> int:
        """Number of servers that have a limit now."""
        return sum(each.per_s is not None for each in self._statements.values())

    def observe(self, key: ServerKey, per_s: float | None, now_ms: float) -> bool:
        """Record what an answer states; return whether the server's limit changed.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        per_s : float or None
            Stated limit in requests per second; None if the answer states none.
        now_ms : float
            Current time in milliseconds.
        """
        return self._update(short_server_id(key), per_s, now_ms)

    def find(self, key: ServerKey) -> float | None:
        """Return a server's limit in requests per second; None if it has none."""
        if not self._statements:
            return None
        statement = self._statements.get(short_server_id(key))
        return None if statement is None else statement.per_s

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard the limits of all other incarnations."""
        retained = {short_server_id(key) for key in keys}
        for server in self._statements.keys() - retained:
            del self._statements[server]

    def _update(self, server: int, per_s: float | None, at_ms: float) -> bool:
        known = self._statements.get(server)
        if known is None and per_s is None:
            return False
        before = None if known is None else known.per_s
        if known is not None and at_ms < known.at_ms:
            return False
        if not _differs(before, per_s):
            self._statements[server] = _Statement(before, at_ms)
            return False
        self._statements[server] = _Statement(per_s, at_ms)
        return True


def _differs(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > MIN_CHANGE * before
