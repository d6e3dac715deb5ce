"""News that rides on probes, each a bounded number of times."""

import math
from collections import OrderedDict

import attrs

from damaskrill.messages import MemberNews

__all__ = ["GossipQueue"]

MAX_UPDATES_PER_MESSAGE = 6
TRANSMISSIONS_PER_DOUBLING = 3
MAX_QUEUED_UPDATES = 1_024


@attrs.define(kw_only=True)
class _QueuedUpdate:
    news: MemberNews
    n_sent: int = 0


class GossipQueue:
    """The latest news of each router, the least often sent first.

    Notes
    -----
    Each news is sent a multiple of the logarithm of the fleet's size times, which
    reaches every router with high probability, and no message carries more than
    ``MAX_UPDATES_PER_MESSAGE`` of them.
    """

    def __init__(self) -> None:
        self._queued: OrderedDict[str, _QueuedUpdate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, news: MemberNews) -> None:
        """Queue a news; an older one of the same router is dropped."""
        self._queued.pop(news.address, None)
        self._queued[news.address] = _QueuedUpdate(news=news)
        if len(self._queued) > MAX_QUEUED_UPDATES:
            self._queued.popitem(last=False)

    def next_updates(self, n_members: int) -> tuple[MemberNews, ...]:
        """Return what the next message carries.

        Parameters
        ----------
        n_members : int
            Size of the fleet.
        """
        if not self._queued:
            return ()
        limit = TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(n_members + 1))
        chosen = sorted(self._queued.values(), key=lambda each: each.n_sent)
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for each in chosen:
            each.n_sent += 1
            if each.n_sent >= limit:
                del self._queued[each.news.address]
        return tuple(each.news for each in chosen)
