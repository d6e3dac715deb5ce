"""Load of each backend server, from own counts and from what its answers say."""

import math
from collections.abc import Iterable

from attrs import define, frozen

from damaskrill.steering._news import is_for_link, short_server_id

__all__ = ["LoadNews", "ServerLoads"]

ServerKey = tuple[str, int]
# Time after which what a server said about other routers' requests counts half:
# about the duration of a stream.
HALF_LIFE_MS = 1_500
# The same statement comes over several ways, some milliseconds apart; two statements
# that are nearer to each other tell the same.
MIN_NEWER_MS = 50
# Older loads say nothing about the present one.
MAX_NEWS_AGE_MS = 2_000


@frozen
class LoadNews:
    """Load that a server stated to some router.

    Parameters
    ----------
    load_id : int
        Short hash of the incarnation.
    n_requests : int
        Its running and waiting requests.
    at_ms : float
        When it said so, on this router's steady clock in milliseconds.
    """

    load_id: int
    n_requests: int
    at_ms: float


@define(kw_only=True)
class _Load:
    """Counts of one incarnation."""

    n_own: int = 0
    n_others: float = 0.0
    n_said: int = 0
    said_at_ms: float = 0.0
    news_number: int = 0
    source: str = ""


class ServerLoads:
    """Requests at each backend server.

    Notes
    -----
    Answers the pattern of many routers in front of few servers: the own count alone
    does not see what others send. A server's answer tells its whole load; the part
    that is not this router's own fades until the next answer.
    """

    def __init__(self) -> None:
        self._loads: dict[ServerKey, _Load] = {}
        self._keys: dict[int, ServerKey] = {}
        self._n_news = 0

    def start(self, key: ServerKey) -> None:
        """Count a request that is being sent."""
        self._loads.setdefault(key, _Load()).n_own += 1

    def end(self, key: ServerKey) -> None:
        """Count the end of a request."""
        load = self._loads.get(key)
        if load is not None and load.n_own > 0:
            load.n_own -= 1

    def take_said(self, key: ServerKey, n_requests: int, at_ms: float) -> None:
        """Take the load that a server stated, its waiting requests included."""
        load = self._loads.setdefault(key, _Load())
        if at_ms > load.said_at_ms:
            self._note(load, n_requests, at_ms, source="")

    def _note(self, load: _Load, n_requests: int, at_ms: float, *, source: str) -> None:
        self._n_news += 1
        load.news_number, load.source = self._n_news, source
        load.n_said = n_requests
        load.n_others = max(0, n_requests - load.n_own)
        load.said_at_ms = at_ms

    def note_server(self, key: ServerKey) -> None:
        """Make a server known, so that what other routers tell of it is taken."""
        self._keys[short_server_id(key)] = key

    def take_news(self, news: Iterable[LoadNews], *, source: str) -> None:
        """Take what another router tells.

        Parameters
        ----------
        news : iterable of LoadNews
            What servers have said.
        source : str
            The link that it came from; it is not told over it again.
        """
        for each in news:
            key = self._keys.get(each.load_id)
            if key is None:
                continue
            load = self._loads.setdefault(key, _Load())
            if each.at_ms - load.said_at_ms > MIN_NEWER_MS:
                self._note(load, each.n_requests, each.at_ms, source=source)

    def news_after(
        self, number: int, *, now_ms: float, not_to: str = "", with_heard: bool = True
    ) -> tuple[list[LoadNews], int]:
        """Return what is to be told over a link: the last statement of each server.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Present time in milliseconds.
        not_to : str, default=""
            The link; news that came from it are left out.
        with_heard : bool, default=True
            Whether news that came from other routers are told too.

        Returns
        -------
        news : list of LoadNews
            In no order.
        number : int
            Number for the next call.
        """
        return [
            LoadNews(short_server_id(key), load.n_said, load.said_at_ms)
            for key, load in self._loads.items()
            if load.news_number > number
            and is_for_link(load.source, not_to=not_to, with_heard=with_heard)
            and now_ms - load.said_at_ms <= MAX_NEWS_AGE_MS
        ], self._n_news

    def n_own(self, key: ServerKey) -> int:
        """Return the number of this router's requests at a server."""
        load = self._loads.get(key)
        return load.n_own if load is not None else 0

    def estimate(self, key: ServerKey, now_ms: float) -> float:
        """Return the number of requests that are probably at a server."""
        load = self._loads.get(key)
        if load is None:
            return 0.0
        age_ms = now_ms - load.said_at_ms
        return load.n_own + load.n_others * math.exp2(-age_ms / HALF_LIFE_MS)

    def age_ms(self, key: ServerKey, now_ms: float) -> float:
        """Return how long ago a server stated its load; -1 if it has not."""
        load = self._loads.get(key)
        return now_ms - load.said_at_ms if load and load.said_at_ms else -1.0

    def forget_all_but(self, keys: set[ServerKey]) -> None:
        """Forget servers that are gone and have none of this router's requests."""
        for key in list(self._loads):
            if key not in keys and not self._loads[key].n_own:
                del self._loads[key]
                self._keys.pop(short_server_id(key), None)
