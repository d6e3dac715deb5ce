"""Order of waiting requests."""

import itertools
import math
from bisect import bisect_left, insort
from collections.abc import Iterator

from attrs import evolve, field, frozen

from damaskrill.scheduling._model import SlotQueued, SlotRequest
from damaskrill.scheduling._shares import Share
from damaskrill.scheduling._wait_prediction import clip_ms

__all__ = ["FITTING_FRACTION", "Rank", "WaitingQueue", "WaitingRequest"]

# A request that is kept is due after its predicted wait times this, unless it can still
# start in time.
DUE_FACTOR = 2
# Requests of a team that demands more than its share, at a priority that fits into it,
# go behind those of teams inside theirs for this part of the longest wait in time.
FITTING_FRACTION = 0.5

RequestKey = tuple[str, int]


@frozen(order=True)
class Rank:
    """Rank of a request; lower goes first.

    Parameters
    ----------
    share : Share
        How it relates to its team's allowance.
    priority : int
        Priority; 0 is the highest.
    limit_at_ms : float
        When it ends without an answer. A request that comes back after a refusal has
        less time left and is not behind those that came later.
    number : int
        Number of its arrival.
    """

    share: Share
    priority: int
    limit_at_ms: float
    number: int


@frozen(kw_only=True)
class WaitingRequest:
    """Request that waits for a slot.

    Parameters
    ----------
    rank : Rank
        Its rank.
    request : SlotRequest
        The request.
    arrived_at_ms, target_at_ms : float
        Arrival and target, in milliseconds.
    due_at_ms : float
        When it gets a slot in turn with those that are not due, in milliseconds.
    inside_at_ms : float
        When it is ranked as inside its team's share, in milliseconds.
    predicted_ms : float
        Predicted wait, in milliseconds.
    n_ahead : int
        Number of requests that waited before it when it arrived.
    """

    rank: Rank
    request: SlotRequest = field(eq=False)
    arrived_at_ms: float
    target_at_ms: float
    due_at_ms: float = math.inf
    inside_at_ms: float = math.inf
    predicted_ms: float = 0.0
    n_ahead: int = 0

    @classmethod
    def build(
        cls,
        request: SlotRequest,
        rank: Rank,
        *,
        now_ms: float,
        work_ms: float,
        n_ahead: int,
        predicted_ms: float,
    ) -> "WaitingRequest":
        """Return a request that arrives now, with the times that follow from it."""
        target_at_ms = now_ms + clip_ms(request.target_left_ms)
        start_by_ms = target_at_ms - work_ms
        inside_at_ms = math.inf
        if rank.share is Share.FITTING:
            inside_at_ms = now_ms + FITTING_FRACTION * (start_by_ms - now_ms)
        return cls(
            rank=rank,
            request=request,
            arrived_at_ms=now_ms,
            target_at_ms=target_at_ms,
            due_at_ms=max(start_by_ms, now_ms + DUE_FACTOR * predicted_ms),
            inside_at_ms=inside_at_ms,
            n_ahead=n_ahead,
            predicted_ms=predicted_ms,
        )

    @property
    def key(self) -> RequestKey:
        """Router and number."""
        return self.request.router, self.request.number

    def queued(self) -> SlotQueued:
        """Return the decision that it waits."""
        return SlotQueued(
            router=self.request.router,
            number=self.request.number,
            predicted_ms=self.predicted_ms,
            n_ahead=self.n_ahead,
        )


class WaitingQueue:
    """Waiting requests by rank.

    Notes
    -----
    Handles callers who compete for too few slots: who waits ahead follows from share,
    priority and the time left, whichever router asked.
    """

    def __init__(self) -> None:
        self._ranks: list[Rank] = []
        self._by_rank: dict[Rank, WaitingRequest] = {}
        self._by_key: dict[RequestKey, Rank] = {}
        # No request is due, or counts as inside its team's share, before these times.
        self._due_from_ms = math.inf
        self._inside_from_ms = math.inf

    def __len__(self) -> int:
        return len(self._ranks)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over a copy, in order of rank, without those removed meanwhile."""
        for rank in self._ranks.copy():
            if (waiting := self._by_rank.get(rank)) is not None:
                yield waiting

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._by_key

    def find(self, key: RequestKey) -> WaitingRequest | None:
        """Return a request; None if it does not wait."""
        rank = self._by_key.get(key)
        return None if rank is None else self._by_rank[rank]

    def promote(self, now_ms: float) -> None:
        """Rank those as inside their teams' shares for which it is time."""
        if now_ms < self._inside_from_ms:
            return
        self._inside_from_ms = math.inf
        for each in list(self):
            if each.rank.share is Share.INSIDE:
                continue
            if each.inside_at_ms <= now_ms:
                self.remove(each.key)
                rank = evolve(each.rank, share=Share.INSIDE)
                self.add(evolve(each, rank=rank, inside_at_ms=math.inf))
            else:
                self._inside_from_ms = min(self._inside_from_ms, each.inside_at_ms)

    def in_order(self, now_ms: float) -> Iterator[WaitingRequest]:
        """Iterate over a copy, in the order in which requests get slots.

        Notes
        -----
        Requests that are due get every second slot: what was kept by a prediction that
        was too short is not overtaken until its limit ends, and more urgent ones do not
        pay for all of it.
        """
        if now_ms < self._due_from_ms:
            return iter(self)
        waiting = list(self._by_rank.values())
        due = [each for each in waiting if each.due_at_ms <= now_ms]
        if not due:
            self._due_from_ms = min(
                (each.due_at_ms for each in waiting), default=math.inf
            )
            return iter(self)
        due.sort(key=lambda each: (each.due_at_ms, each.rank))
        others = [each for each in self if each.due_at_ms > now_ms]
        pairs = itertools.zip_longest(due, others)
        return (each for pair in pairs for each in pair if each is not None)

    def n_ahead(self, rank: Rank) -> int:
        """Return how many requests wait before one of this rank."""
        return bisect_left(self._ranks, rank)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        insort(self._ranks, waiting.rank)
        self._by_rank[waiting.rank] = waiting
        self._by_key[waiting.key] = waiting.rank
        self._due_from_ms = min(self._due_from_ms, waiting.due_at_ms)
        self._inside_from_ms = min(self._inside_from_ms, waiting.inside_at_ms)

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove a request; return None if it does not wait."""
        rank = self._by_key.pop(key, None)
        if rank is None:
            return None
        del self._ranks[bisect_left(self._ranks, rank)]
        return self._by_rank.pop(rank)
