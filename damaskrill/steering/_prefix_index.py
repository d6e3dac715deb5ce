"""Index of the engines that probably have a prompt prefix in their cache."""

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
# Engines evict the least recently used parts. After this time, an engine may have
# evicted a part that was not used again.
RETENTION_MS = 30_000
# Half of the retention time, so that all routers keep an entry for a part that is in
# constant use.
REPUBLISH_INTERVAL_MS = 15_000
# A part can be copied from any engine that has it, so a few published engines suffice
# even if some of them leave.
MAX_PUBLISHED_HOLDERS = 3
# Maximum number of reports that are sent over a new link: about 10 kB.
MAX_LOGGED_REPORTS = 512


@define
class PrefixReport:
    """Report that an engine has processed a part of a prompt.

    Parameters
    ----------
    part : int
        Short hash of the part.
    engine : int
        Short hash of the engine's incarnation.
    age_ms : int
        Time since then, in milliseconds.
    """

    part: int
    engine: int
    age_ms: int


@define
class _CacheEntry:
    """When an engine last processed a part, and the last such time published."""

    cached_at_ms: float
    published_at_ms: float


class PrefixIndex:
    """Bounded index of the engines that have processed prompt parts.

    Notes
    -----
    Handles prefixes that move between engines: a new engine gets its share of the keys,
    a leaving one loses its keys, and requests of a hot key spill over to other engines.
    Copying a prefix from the memory of another engine is far cheaper than processing it
    again. In a large fleet, each router sees a prefix too rarely to know which engines
    have it, so the routers gossip prefix reports.
    """

    def __init__(self) -> None:
        self._entries_by_part: OrderedDict[int, dict[int, _CacheEntry]] = OrderedDict()
        # Part, engine, and when the engine processed the part.
        self._log: GossipLog[tuple[int, int, float]] = GossipLog(
            max_reports=MAX_LOGGED_REPORTS
        )

    def record_sent(
        self, prompt: Sequence[PromptPart], server: BackendServer, now_ms: float
    ) -> None:
        """Record that an engine processes the shared parts of a prompt."""
        engine = short_server_id(server.key)
        for part in prompt[:-1]:
            self._record(short_id(part.part_id), engine, now_ms, source="")

    def apply_reports(
        self, reports: Iterable[PrefixReport], *, now_ms: float, source: str
    ) -> None:
        """Apply the reports of another router.

        Parameters
        ----------
        reports : iterable of PrefixReport
            The received reports.
        now_ms : float
            Current time in milliseconds.
        source : str
            Link over which the reports arrived; they are not sent back over it.
        """
        for each in reports:
            self._record(each.part, each.engine, now_ms - each.age_ms, source=source)

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[PrefixReport], int]:
        """Return the reports to send over a link.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Current time in milliseconds.
        exclude_link : str, default=""
            The outgoing link. Reports that arrived over it are omitted.
        include_relayed : bool, default=True
            Whether reports received from other routers are sent as well.

        Returns
        -------
        reports : list of PrefixReport
            Oldest first.
        number : int
            Number for the next call.
        """
        newest, number = self._log.reports_after(
            number, exclude_link=exclude_link, include_relayed=include_relayed
        )
        return [
            PrefixReport(part, engine, round(now_ms - cached_at_ms))
            for part, engine, cached_at_ms in newest
            if now_ms - cached_at_ms <= RETENTION_MS
        ], number

    def find_holders(self, part_id: str, now_ms: float) -> frozenset[int]:
        """Return the short hashes of the engines that recently processed a part."""
        entries = self._entries_by_part.get(short_id(part_id), {})
        return frozenset(
            engine
            for engine, entry in entries.items()
            if now_ms - entry.cached_at_ms <= RETENTION_MS
        )

    def has_cached(self, part_id: str, key: tuple[str, int], now_ms: float) -> bool:
        """Return whether an engine is known to have processed a part recently."""
        entry = self._entries_by_part.get(short_id(part_id), {}).get(
            short_server_id(key)
        )
        return entry is not None and now_ms - entry.cached_at_ms <= RETENTION_MS

    def count_cached_tokens(
        self, prompt: Sequence[PromptPart], key: tuple[str, int], now_ms: float
    ) -> int:
        """Return the number of shared prefix tokens that an engine has processed.

        Notes
        -----
        An engine that processed a part also has all parts before it, even if it was not
        among the few engines that were published for them.
        """
        n_tokens = n_cached = 0
        for part in prompt[:-1]:
            n_tokens += part.n_tokens
            if self.has_cached(part.part_id, key, now_ms):
                n_cached = n_tokens
        return n_cached

    def find(
        self,
        prompt: Sequence[PromptPart],
        target: BackendServer,
        holders: Sequence[BackendServer],
        now_ms: float,
        *,
        is_warm: bool = False,
    ) -> BackendServer | None:
        """Return the engine to copy a prefix from; None if a copy would not help.

        Parameters
        ----------
        prompt : sequence of PromptPart
            Parts of the prompt; the last one is the request's own.
        target : BackendServer
            Engine to which the request is sent.
        holders : sequence of BackendServer
            Reachable engines, including leaving ones.
        now_ms : float
            Current time in milliseconds.
        is_warm : bool, default=False
            Whether the target has been in service for long, so that for prompts of its
            own keys it lacks at most the parts that several keys share.
        """
        others = [each for each in holders if each.key != target.key]
        if len(prompt) < 2 or not others:
            return None
        n_shared = sum(part.n_tokens for part in prompt[:-1])
        n_at_target = self.count_cached_tokens(prompt, target.key, now_ms)
        if n_at_target >= n_shared:
            return None

        def score(engine: BackendServer) -> tuple[int, bool]:
            n_tokens = self.count_cached_tokens(prompt, engine.key, now_ms)
            return n_tokens, engine.data_centre == target.data_centre

        best = max(others, key=score)
        if score(best)[0] > n_at_target:
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
        published = [
            each
            for each in entries.values()
            if cached_at_ms - each.published_at_ms < REPUBLISH_INTERVAL_MS
        ]
        if len(published) < MAX_PUBLISHED_HOLDERS:
            entry.published_at_ms = cached_at_ms
            self._log.add((part, engine, cached_at_ms), source=source)


def _guess_holder(
    prompt: Sequence[PromptPart],
    target: BackendServer,
    others: Sequence[BackendServer],
    *,
    is_warm: bool,
) -> BackendServer:
    # All routers compute the same rendezvous order for the last shared part. The engine
    # that had the part before is the first in this order other than the target.
    by_id = {each.server_id: each for each in (*others, target)}
    order = rank_by_rendezvous(prompt[-2].part_id, by_id)
    if is_warm and order[0] == target.server_id:
        order = rank_by_rendezvous(prompt[0].part_id, by_id)
    return next(by_id[each] for each in order if each != target.server_id)
