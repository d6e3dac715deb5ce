"""Prompt parts that a fake engine has cached."""

from collections import OrderedDict

import orjson

from damaskrill.http1 import CallerRequest

__all__ = ["CACHE_LIST_PATH", "PartCache"]

CACHE_LIST_PATH = b"/damaskrill/kv-list"
EPOCH = 1


class PartCache:
    """Cached prompt parts, of which the least recently used ones are evicted.

    Parameters
    ----------
    n_tokens : int, default=100_000
        Tokens that it holds.

    Attributes
    ----------
    n_lists : int
        Number of times that its parts were listed.
    """

    def __init__(self, n_tokens: int = 100_000) -> None:
        self.n_tokens = n_tokens
        self.n_lists = 0
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    @property
    def n_held(self) -> int:
        """Tokens of the parts that it holds."""
        return sum(self._parts.values())

    def add_prompt(self, request: CallerRequest) -> None:
        """Cache the parts of a request's prompt, most recently used last."""
        model = (request.find_header(b"damaskrill-model") or b"m").decode()
        prompt = (request.find_header(b"damaskrill-prompt-prefix") or b"").decode()
        for each in prompt.split(","):
            part_id, _, tokens = each.strip().partition(":")
            if part_id and tokens.isdecimal():
                self.add(part_id, int(tokens), model=model)

    def add(self, part_id: str, n_tokens: int, *, model: str = "m") -> None:
        """Cache a part, and evict others if there is no room."""
        self._parts[model, part_id] = n_tokens
        self._parts.move_to_end((model, part_id))
        while self.n_held > self.n_tokens:
            self._parts.popitem(last=False)

    def clear(self) -> None:
        """Evict all parts."""
        self._parts.clear()

    def build_list(self, *, started_at_ms: int) -> bytes:
        """Return the body of the answer that lists the parts."""
        self.n_lists += 1
        held = [["", part, n, model] for (model, part), n in self._parts.items()]
        return orjson.dumps(
            {
                "born": started_at_ms,
                "epoch": EPOCH,
                "next": len(held) + 1,
                "held": held,
            }
        )
