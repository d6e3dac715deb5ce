"""Membership updates piggybacked on probes, each a bounded number of times."""

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
    update: MemberNews
    n_sent: int = 0


class GossipQueue:
    """Latest membership update of each router, least often sent first.

    Notes
    -----
    The number of transmissions of an update is proportional to the logarithm of the
    fleet's size, which reaches every router with high probability. No message carries
    more than ``MAX_UPDATES_PER_MESSAGE`` updates.
    """

    def __init__(self) -> None:
        self._queued: OrderedDict[str, _QueuedUpdate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MemberNews) -> None:
        """Queue an update in place of an older one of the same router."""
        self._queued.pop(update.address, None)
        self._queued[update.address] = _QueuedUpdate(update=update)
        if len(self._queued) > MAX_QUEUED_UPDATES:
            self._queued.popitem(last=False)

    def next_updates(self, n_members: int) -> tuple[MemberNews, ...]:
        """Return the updates for the next message.

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
                del self._queued[each.update.address]
        return tuple(each.update for each in chosen)
