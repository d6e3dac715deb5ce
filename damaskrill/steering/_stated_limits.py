"""Request rates that backend servers state as the most they take."""

from collections.abc import Iterable

from attrs import define

from damaskrill.steering._gossip import short_server_id, should_forward
from damaskrill.utils import LatestOrder

__all__ = ["LimitReport", "StatedLimits"]

ServerKey = tuple[str, int]
# A limit that differs by a smaller fraction from the known one is treated as the same.
MIN_CHANGE = 0.05
# A server that is not listed may be listed soon: a router that starts may receive
# reports before its list of servers.
UNLISTED_RETENTION_MS = 30_000
NEVER_MS = float("-inf")
# Rates are sent in thousandths, so that every report consists of integers.
UNITS_PER_RATE = 1_000
NO_LIMIT = 0xFFFF_FFFF


@define
class LimitReport:
    """Limit that a server stated to some router.

    Parameters
    ----------
    server : int
        Short hash of the server's incarnation.
    rate : int
        Requests per 1,000 seconds from all routers together; `NO_LIMIT` if the server
        no longer states a limit.
    age_ms : int
        Time since the answer that stated it, in milliseconds.
    """

    server: int
    rate: int
    age_ms: int

    @property
    def per_s(self) -> float | None:
        """Requests per second; None if the server no longer states a limit."""
        return None if self.rate == NO_LIMIT else self.rate / UNITS_PER_RATE


@define
class _Statement:
    """What a server stated last.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all routers together; None if it states no limit.
    at_ms : float
        Local time of the answer in milliseconds.
    source : str
        Link over which the limit was reported; empty if this router got an answer.
    """

    per_s: float | None = None
    at_ms: float = NEVER_MS
    source: str = ""


class StatedLimits:
    """Limits that servers state in their answers, for as long as they state them.

    Notes
    -----
    Handles a server that cannot process its share of the requests: it states how many
    requests per second it takes from the whole fleet, and omits the limit from its
    answers when it no longer needs one. In a large fleet a router gets an answer from a
    given server so rarely that it depends on the reports of other routers.
    """

    def __init__(self) -> None:
        # By short hash of the server's incarnation; only servers that have stated one.
        self._statements: dict[int, _Statement] = {}
        self._changed: LatestOrder[int] = LatestOrder()

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
        server = short_server_id(key)
        if per_s is None and server not in self._statements:
            return False
        return self._update(server, per_s, now_ms, source="")

    def find(self, key: ServerKey) -> float | None:
        """Return a server's limit in requests per second; None if it has none."""
        if not self._statements:
            return None
        statement = self._statements.get(short_server_id(key))
        return None if statement is None else statement.per_s

    def apply_reports(
        self, reports: Iterable[LimitReport], *, now_ms: float, source: str
    ) -> dict[int, float | None]:
        """Apply the reports of another router.

        Parameters
        ----------
        reports : iterable of LimitReport
            The received reports.
        now_ms : float
            Current time in milliseconds.
        source : str
            Link over which the reports arrived; they are not sent back over it.

        Returns
        -------
        dict of int to float or None
            New limits in requests per second, by short hash of the server.
        """
        return {
            each.server: each.per_s
            for each in reports
            if self._update(
                each.server, each.per_s, now_ms - each.age_ms, source=source
            )
        }

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[LimitReport], int]:
        """Return the reports to send over a link: the newest of each server.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; `NEW_LINK` for a new one,
            which gets all known limits.
        now_ms : float
            Current time in milliseconds.
        exclude_link : str, default=""
            The outgoing link. Reports that arrived over it are omitted.
        include_relayed : bool, default=True
            Whether reports received from other routers are sent as well.

        Returns
        -------
        reports : list of LimitReport
            In no particular order.
        number : int
            Number for the next call.
        """
        # A router that has started again needs its own former reports as well.
        is_new = number < 0
        selected = []
        for server in self._changed.updated_after(number):
            statement = self._statements[server]
            if is_new or should_forward(
                statement.source,
                exclude_link=exclude_link,
                include_relayed=include_relayed,
            ):
                selected.append(_build_report(server, statement, now_ms))
        return selected, self._changed.last_number

    def retain_only(self, keys: set[ServerKey], now_ms: float) -> None:
        """Discard the limits of all other incarnations that were not stated lately."""
        retained = {short_server_id(key) for key in keys}
        for server in self._statements.keys() - retained:
            if now_ms - self._statements[server].at_ms > UNLISTED_RETENTION_MS:
                del self._statements[server]
                self._changed.discard(server)

    def _update(
        self, server: int, per_s: float | None, at_ms: float, *, source: str
    ) -> bool:
        statement = self._statements.setdefault(server, _Statement())
        if at_ms < statement.at_ms:
            return False
        statement.at_ms = at_ms
        if not _differs(statement.per_s, per_s):
            return False
        statement.per_s, statement.source = per_s, source
        self._changed.update(server)
        return True


def _build_report(server: int, statement: _Statement, now_ms: float) -> LimitReport:
    per_s = statement.per_s
    rate = NO_LIMIT
    if per_s is not None:
        rate = min(round(per_s * UNITS_PER_RATE), NO_LIMIT - 1)
    return LimitReport(server, rate, max(0, round(now_ms - statement.at_ms)))


def _differs(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > MIN_CHANGE * before
