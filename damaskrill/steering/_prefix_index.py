"""Names the engine that probably has a prompt's prefix when the chosen one has not."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define

from damaskrill.catalog import BackendServer
from damaskrill.steering._gossip import GossipLog, short_id, short_server_id
from damaskrill.steering._metadata import PromptPart
from damaskrill.utils import rank_by_rendezvous

__all__ = ["PrefixIndex", "PrefixReport"]

MAX_PARTS = 8_192
# Engines keep parts in the order of their last use; after this time an engine may
# have dropped a part that has not been used again.
RETENTION_MS = 30_000
# Half of that time: what is used all the while stays known everywhere.
REPUBLISH_INTERVAL_MS = 15_000
# Any engine that has a part can be copied from; a few suffice when some leave.
MAX_PUBLISHED_HOLDERS = 3
# What a router tells to a new link at most: about 10 kB.
MAX_LOGGED_REPORTS = 512


@define
class PrefixReport:
    """A part of a prompt that an engine has read.

    Parameters
    ----------
    part : int
        Short hash of the part.
    engine : int
        Short hash of the engine's incarnation.
    age_ms : int
        How long ago, in milliseconds.
    """

    part: int
    engine: int
    age_ms: int


@define
class _CacheEntry:
    """When an engine read a part, and which reading other routers were told of."""

    cached_at_ms: float
    published_at_ms: float


class PrefixIndex:
    """Remembers where prompt parts were read, in bounded memory.

    Notes
    -----
    Answers the pattern of prefixes that move: a new engine takes its part of the
    keys, a leaving one gives its keys up, and a much used key spills over. Copying a
    prefix from another engine's memory is far cheaper than reading it again. One
    router of many sees a prefix too rarely to know where it is, so that routers tell
    each other.
    """

    def __init__(self) -> None:
        self._entries_by_part: OrderedDict[int, dict[int, _CacheEntry]] = OrderedDict()
        # Parts, engines, and when they were read.
        self._news: GossipLog[tuple[int, int, float]] = GossipLog(
            max_reports=MAX_LOGGED_REPORTS
        )

    def record_sent(
        self, prompt: Sequence[PromptPart], server: BackendServer, now_ms: float
    ) -> None:
        """Remember that an engine reads the parts of a prompt."""
        engine = short_server_id(server.key)
        for part in prompt[:-1]:
            self._record(short_id(part.part_id), engine, now_ms, source="")

    def apply_reports(
        self, news: Iterable[PrefixReport], *, now_ms: float, source: str
    ) -> None:
        """Take what another router tells.

        Parameters
        ----------
        news : iterable of PrefixNews
            What engines have read.
        now_ms : float
            Present time in milliseconds.
        source : str
            The link that it came from; it is not told over it again.
        """
        for each in news:
            self._record(each.part, each.engine, now_ms - each.age_ms, source=source)

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[PrefixReport], int]:
        """Return what is to be told over a link.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Present time in milliseconds.
        exclude_link : str, default=""
            The link; news that came from it are left out.
        include_relayed : bool, default=True
            Whether news that came from other routers are told too.

        Returns
        -------
        news : list of PrefixNews
            Oldest first.
        number : int
            Number for the next call.
        """
        fresh, number = self._news.reports_after(
            number, exclude_link=exclude_link, include_relayed=include_relayed
        )
        return [
            PrefixReport(part, engine, round(now_ms - cached_at_ms))
            for part, engine, cached_at_ms in fresh
            if now_ms - cached_at_ms <= RETENTION_MS
        ], number

    def has_cached(self, part_id: str, key: tuple[str, int], now_ms: float) -> bool:
        """Return whether an engine is known to have read a part lately."""
        entry = self._entries_by_part.get(short_id(part_id), {}).get(
            short_server_id(key)
        )
        return entry is not None and now_ms - entry.cached_at_ms <= RETENTION_MS

    def count_cached_tokens(
        self, prompt: Sequence[PromptPart], key: tuple[str, int], now_ms: float
    ) -> int:
        """Return how many tokens of a prompt's shared prefix an engine surely read.

        Notes
        -----
        An engine that read a part had the parts before it, also where only a few of
        the engines that have those were told of.
        """
        n_tokens = n_known = 0
        for part in prompt[:-1]:
            n_tokens += part.n_tokens
            if self.has_cached(part.part_id, key, now_ms):
                n_known = n_tokens
        return n_known

    def find(
        self,
        prompt: Sequence[PromptPart],
        target: BackendServer,
        holders: Sequence[BackendServer],
        now_ms: float,
        *,
        is_warm: bool = False,
    ) -> BackendServer | None:
        """Return the engine to copy from; None if nothing would be won.

        Parameters
        ----------
        prompt : sequence of PromptPart
            Parts of the prompt; the last one is the request's own.
        target : BackendServer
            Engine that the request goes to.
        holders : sequence of BackendServer
            Engines that can be reached, leaving ones included.
        now_ms : float
            Present time in milliseconds.
        is_warm : bool, default=False
            Whether the target has long been there, so that prompts of its own keys
            lack at most the parts that several keys share.
        """
        others = [each for each in holders if each.key != target.key]
        if len(prompt) < 2 or not others:
            return None
        n_shared = sum(part.n_tokens for part in prompt[:-1])
        n_at_target = self.count_cached_tokens(prompt, target.key, now_ms)
        if n_at_target >= n_shared:
            return None

        def worth(engine: BackendServer) -> tuple[int, bool]:
            n_tokens = self.count_cached_tokens(prompt, engine.key, now_ms)
            return n_tokens, engine.data_centre == target.data_centre

        best = max(others, key=worth)
        if worth(best)[0] > n_at_target:
            return best
        return _guess_holder(prompt, target, others, is_warm=is_warm)

    def _record(
        self, part: int, engine: int, cached_at_ms: float, *, source: str
    ) -> None:
        entries = self._entries_by_part.setdefault(part, {})
        self._entries_by_part.move_to_end(part)
        if len(self._entries_by_part) > MAX_PARTS:
            self._entries_by_part.popitem(last=False)
        entry = entries.get(engine)
        if entry is None:
            entry = entries[engine] = _CacheEntry(cached_at_ms, -math.inf)
        elif cached_at_ms > entry.cached_at_ms:
            entry.cached_at_ms = cached_at_ms
        if cached_at_ms - entry.published_at_ms < REPUBLISH_INTERVAL_MS:
            return
        told = [
            each
            for each in entries.values()
            if cached_at_ms - each.published_at_ms < REPUBLISH_INTERVAL_MS
        ]
        if len(told) < MAX_PUBLISHED_HOLDERS:
            entry.published_at_ms = cached_at_ms
            self._news.add((part, engine, cached_at_ms), source=source)


def _guess_holder(
    prompt: Sequence[PromptPart],
    target: BackendServer,
    others: Sequence[BackendServer],
    *,
    is_warm: bool,
) -> BackendServer:
    # All routers agree on the order for the last shared part: its owner before the
    # target came is the next in it, or the first one if the target is not.
    by_id = {each.server_id: each for each in (*others, target)}
    order = rank_by_rendezvous(prompt[-2].part_id, by_id)
    if is_warm and order[0] == target.server_id:
        order = rank_by_rendezvous(prompt[0].part_id, by_id)
    return next(by_id[each] for each in order if each != target.server_id)
