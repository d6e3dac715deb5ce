"""Names the engine that probably has a prompt's prefix when the chosen one has not."""

from collections import OrderedDict
from collections.abc import Sequence

from damaskrill.catalog import BackendServer
from damaskrill.steering._facts import PromptPart
from damaskrill.utils import rank_by_rendezvous

__all__ = ["CacheSources"]

ServerKey = tuple[str, int]
MAX_PARTS = 8_192
# Engines keep parts in the order of their last use; after this time an engine may
# have dropped a part that this router has not used again.
MEMORY_MS = 30_000


class CacheSources:
    """Remembers where prompt parts were read, in bounded memory.

    Notes
    -----
    Answers the pattern of prefixes that move: a new engine takes its part of the
    keys, a leaving one gives its keys up, and a much used key spills over. Copying a
    prefix from another engine's memory is far cheaper than reading it again.
    """

    def __init__(self) -> None:
        self._read_at: OrderedDict[str, dict[ServerKey, float]] = OrderedDict()

    def note_sent(
        self, prompt: Sequence[PromptPart], server: BackendServer, now_ms: float
    ) -> None:
        """Remember that an engine reads the parts of a prompt."""
        for part in prompt[:-1]:
            self._read_at.setdefault(part.part_id, {})[server.key] = now_ms
            self._read_at.move_to_end(part.part_id)
        while len(self._read_at) > MAX_PARTS:
            self._read_at.popitem(last=False)

    def count_known(
        self, prompt: Sequence[PromptPart], key: ServerKey, now_ms: float
    ) -> int:
        """Return how many tokens of a prompt's shared prefix an engine surely read."""
        n_tokens = 0
        for part in prompt[:-1]:
            read_at_ms = self._read_at.get(part.part_id, {}).get(key)
            if read_at_ms is None or now_ms - read_at_ms > MEMORY_MS:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def find(
        self,
        prompt: Sequence[PromptPart],
        target: BackendServer,
        holders: Sequence[BackendServer],
        now_ms: float,
        *,
        is_settled: bool = False,
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
        is_settled : bool, default=False
            Whether the target has long been there, so that prompts of its own keys
            lack at most the parts that several keys share.
        """
        others = [each for each in holders if each.key != target.key]
        if len(prompt) < 2 or not others:
            return None
        n_shared = sum(part.n_tokens for part in prompt[:-1])
        n_at_target = self.count_known(prompt, target.key, now_ms)
        if n_at_target >= n_shared:
            return None
        known = {
            each.key: self.count_known(prompt, each.key, now_ms) for each in others
        }
        best = max(others, key=lambda each: known[each.key])
        if known[best.key] > n_at_target:
            return best
        return _guess_holder(prompt, target, others, is_settled=is_settled)


def _guess_holder(
    prompt: Sequence[PromptPart],
    target: BackendServer,
    others: Sequence[BackendServer],
    *,
    is_settled: bool,
) -> BackendServer:
    # All routers agree on the order for the last shared part: its owner before the
    # target came is the next in it, or the first one if the target is not.
    by_id = {each.server_id: each for each in (*others, target)}
    order = rank_by_rendezvous(prompt[-2].part_id, by_id)
    if is_settled and order[0] == target.server_id:
        order = rank_by_rendezvous(prompt[0].part_id, by_id)
    return next(by_id[each] for each in order if each != target.server_id)
