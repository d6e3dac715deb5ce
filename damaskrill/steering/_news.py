"""What routers' news have in common: short hashes of names, and where they go."""

from collections import deque
from functools import lru_cache
from typing import Generic, TypeVar

from damaskrill.utils import hash_to_int

__all__ = ["NewsLog", "is_for_link", "short_id", "short_server_id"]

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


def is_for_link(source: str, *, not_to: str, with_heard: bool) -> bool:
    """Return whether news go over a link.

    Parameters
    ----------
    source : str
        Link that they came from; empty if they are this router's own.
    not_to : str
        The link.
    with_heard : bool
        Whether news that came from other routers are told too.
    """
    return not source or (with_heard and source != not_to)


class NewsLog(Generic[T]):
    """The newest news, with the link that each came from.

    Parameters
    ----------
    max_news : int
        News that are kept; a new link is told no more than these.
    """

    def __init__(self, *, max_news: int) -> None:
        self._news: deque[tuple[str, T]] = deque(maxlen=max_news)
        self._n_news = 0

    def add(self, news: T, *, source: str) -> None:
        """Add news; the source is empty if they are this router's own."""
        self._news.append((source, news))
        self._n_news += 1

    def after(
        self, number: int, *, not_to: str, with_heard: bool
    ) -> tuple[list[T], int]:
        """Return what is to be told over a link, and the number for the next call.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        not_to : str
            The link; news that came from it are left out.
        with_heard : bool
            Whether news that came from other routers are told too.
        """
        n_new = min(self._n_news - number, len(self._news))
        fresh = list(self._news)[len(self._news) - n_new :] if n_new > 0 else []
        told = [
            news
            for source, news in fresh
            if is_for_link(source, not_to=not_to, with_heard=with_heard)
        ]
        return told, self._n_news
