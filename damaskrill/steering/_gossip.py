"""Short hashes of names, and the log of reports that routers gossip to each other."""

from collections import deque
from functools import lru_cache
from typing import Generic, TypeVar

from damaskrill.utils import hash_to_int

__all__ = ["GossipLog", "short_id", "short_server_id", "should_forward"]

T = TypeVar("T")

# Two of some ten thousand names occasionally share a 32-bit hash. A collision makes one
# request slightly slower; a longer hash would enlarge every message.
ID_MASK = 0xFFFF_FFFF
# Several times the number of servers, or of prompt parts in use, in a large fleet. Each
# selection of an engine looks up the same hashes once per engine.
MAX_CACHED_IDS = 16_384


@lru_cache(maxsize=MAX_CACHED_IDS)
def short_id(name: str) -> int:
    """Return the short hash of a name.

    Parameters
    ----------
    name : str
        Any text.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1.
    """
    return hash_to_int(name) & ID_MASK


@lru_cache(maxsize=MAX_CACHED_IDS)
def short_server_id(key: tuple[str, int]) -> int:
    """Return the short hash of a server's incarnation.

    Parameters
    ----------
    key : tuple of (str, int)
        Identity and start time of the incarnation.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1.
    """
    return short_id(f"{key[0]} {key[1]}")


def should_forward(source: str, *, exclude_link: str, include_relayed: bool) -> bool:
    """Return whether a report is sent over a link.

    Parameters
    ----------
    source : str
        Link over which the report arrived; empty if this router created it.
    exclude_link : str
        The outgoing link.
    include_relayed : bool
        Whether reports received from other routers are sent as well.
    """
    return not source or (include_relayed and source != exclude_link)


class GossipLog(Generic[T]):
    """Bounded log of the newest reports, with the source link of each.

    Parameters
    ----------
    max_reports : int
        Number of reports that are retained. A new link receives no more than these.
    """

    def __init__(self, *, max_reports: int) -> None:
        self._reports: deque[tuple[str, T]] = deque(maxlen=max_reports)
        self._n_reports = 0

    @property
    def n_reports(self) -> int:
        """Number of reports that were ever added."""
        return self._n_reports

    def add(self, report: T, *, source: str) -> None:
        """Add a report; the source is empty if this router created it."""
        self._reports.append((source, report))
        self._n_reports += 1

    def reports_after(
        self, number: int, *, exclude_link: str, include_relayed: bool
    ) -> tuple[list[T], int]:
        """Return the reports to send over a link, and the number for the next call.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        exclude_link : str
            The outgoing link. Reports that arrived over it are omitted.
        include_relayed : bool
            Whether reports received from other routers are sent as well.
        """
        n_new = min(self._n_reports - number, len(self._reports))
        newest = list(self._reports)[len(self._reports) - n_new :] if n_new > 0 else []
        selected = [
            report
            for source, report in newest
            if should_forward(
                source, exclude_link=exclude_link, include_relayed=include_relayed
            )
        ]
        return selected, self._n_reports
