"""What routers' news have in common: short hashes of names, and where they go."""

from collections import deque
from functools import lru_cache
from typing import Generic, TypeVar

from damaskrill.utils import hash_to_int

__all__ = ["GossipLog", "short_id", "short_server_id", "should_forward"]

T = TypeVar("T")

# Among some ten thousand names two may share 32 bits now and then; a wrong hint costs
# one request a little, a longer hash costs each message.
ID_MASK = 0xFFFF_FFFF
# Several times the servers, or the parts in use, of a large fleet; each choice of an
# engine asks for the same ones once an engine.
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
        Identity and start of the incarnation.

    Returns
    -------
    int
        Value from 0 to 2**32 - 1.
    """
    return short_id(f"{key[0]} {key[1]}")


def should_forward(source: str, *, exclude_link: str, include_relayed: bool) -> bool:
    """Return whether news go over a link.

    Parameters
    ----------
    source : str
        Link that they came from; empty if they are this router's own.
    exclude_link : str
        The link.
    include_relayed : bool
        Whether news that came from other routers are told too.
    """
    return not source or (include_relayed and source != exclude_link)


class GossipLog(Generic[T]):
    """The newest news, with the link that each came from.

    Parameters
    ----------
    max_reports : int
        News that are kept; a new link is told no more than these.
    """

    def __init__(self, *, max_reports: int) -> None:
        self._reports: deque[tuple[str, T]] = deque(maxlen=max_reports)
        self._n_reports = 0

    def add(self, news: T, *, source: str) -> None:
        """Add news; the source is empty if they are this router's own."""
        self._reports.append((source, news))
        self._n_reports += 1

    def reports_after(
        self, number: int, *, exclude_link: str, include_relayed: bool
    ) -> tuple[list[T], int]:
        """Return what is to be told over a link, and the number for the next call.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        exclude_link : str
            The link; news that came from it are left out.
        include_relayed : bool
            Whether news that came from other routers are told too.
        """
        n_new = min(self._n_reports - number, len(self._reports))
        fresh = list(self._reports)[len(self._reports) - n_new :] if n_new > 0 else []
        told = [
            news
            for source, news in fresh
            if should_forward(
                source, exclude_link=exclude_link, include_relayed=include_relayed
            )
        ]
        return told, self._n_reports
