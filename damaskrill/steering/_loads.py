"""Load of each backend server, from own counts and from what its answers say."""

import math
from collections.abc import Iterable

from attrs import define, field

from damaskrill.steering._news import short_server_id

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


@define
class LoadNews:
    """Load that a server stated to some router.

    Parameters
    ----------
    load_id : int
        Short hash of the incarnation.
    n_requests : int
        Its running and waiting requests.
    age_ms : int
        How long ago it said so, in milliseconds.
    """

    load_id: int
    n_requests: int
    age_ms: int


@define(kw_only=True)
class _Load:
    """Counts of one incarnation."""

    n_own: int = 0
    n_others: float = 0.0
    n_said: int = 0
    said_at_ms: float = 0.0
    news_number: int = 0
    is_heard: bool = False
    # When the newest statement was made that came over, or went over, each link.
    known_by: dict[str, float] = field(factory=dict)


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
        # The same, those with the newest statements last.
        self._by_news: dict[ServerKey, _Load] = {}
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
            self._note(key, n_requests, at_ms, is_heard=False)

    def _note(
        self, key: ServerKey, n_requests: int, at_ms: float, *, is_heard: bool
    ) -> None:
        load = self._loads[key]
        self._by_news.pop(key, None)
        self._by_news[key] = load
        self._n_news += 1
        load.news_number, load.is_heard = self._n_news, is_heard
        load.n_said = n_requests
        load.n_others = max(0, n_requests - load.n_own)
        load.said_at_ms = at_ms

    def note_server(self, key: ServerKey) -> None:
        """Make a server known, so that what other routers tell of it is taken."""
        self._keys[short_server_id(key)] = key

    def take_news(
        self, news: Iterable[LoadNews], *, now_ms: float, source: str
    ) -> None:
        """Take what another router tells.

        Parameters
        ----------
        news : iterable of LoadNews
            What servers have said.
        now_ms : float
            Present time in milliseconds.
        source : str
            The link that it came from; it is not told over it again.
        """
        for each in news:
            key = self._keys.get(each.load_id)
            if key is None:
                continue
            load = self._loads.get(key)
            if load is None:
                load = self._loads[key] = _Load()
            at_ms = now_ms - each.age_ms
            load.known_by[source] = at_ms
            if at_ms - load.said_at_ms > MIN_NEWER_MS:
                self._note(key, each.n_requests, at_ms, is_heard=True)

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
            The link; what has come over it, or nothing newer, is left out.
        with_heard : bool, default=True
            Whether news that came from other routers are told too.

        Returns
        -------
        news : list of LoadNews
            In no order.
        number : int
            Number for the next call.
        """
        told = []
        oldest_ms = now_ms - MAX_NEWS_AGE_MS
        for key, load in reversed(self._by_news.items()):
            if load.news_number <= number:
                break
            said_at_ms = load.said_at_ms
            if said_at_ms < oldest_ms or (load.is_heard and not with_heard):
                continue
            if said_at_ms - load.known_by.get(not_to, -math.inf) > MIN_NEWER_MS:
                load.known_by[not_to] = said_at_ms
                age_ms = round(now_ms - said_at_ms)
                told.append(LoadNews(short_server_id(key), load.n_said, age_ms))
        return told, self._n_news

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
                self._by_news.pop(key, None)
                self._keys.pop(short_server_id(key), None)
