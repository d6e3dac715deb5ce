"""Room at engines: prompts that are not read yet, and tokens in memory."""

from collections.abc import Hashable

from attrs import define, frozen

__all__ = ["EngineRoom", "expected_output"]

ServerKey = tuple[str, int]

# No engine holds so many tokens for one request; larger counts are wrong.
MAX_TOKENS = 100_000_000
# Weight of a request in the mean of tokens a request, as if of the last 32 requests.
MEAN_WEIGHT = 1 / 32


@frozen
class _SentPrompt:
    """A request that this router has at an engine."""

    engine: ServerKey
    n_unread: int
    n_tokens: int
    has_begun: bool = False


@define
class _EngineTokens:
    n_unread: int = 0
    n_tokens: int = 0
    n_requests: int = 0


def expected_output(hint: int | None, most: int) -> int:
    """Return the output tokens to expect of a request.

    Parameters
    ----------
    hint : int or None
        The caller's estimate; it counts only between 1 and the request's own limit.
    most : int
        The limit that the request states; 0 if it states none.
    """
    if hint is None or hint <= 0:
        return clip_tokens(most)
    return clip_tokens(min(hint, most) if most > 0 else hint)


def clip_tokens(n_tokens: int) -> int:
    """Return a stated number of tokens within what an engine can hold."""
    return min(max(0, n_tokens), MAX_TOKENS)


class EngineRoom:
    """Prompt tokens that engines have not read yet, and tokens in their memory.

    Notes
    -----
    Handles short prompts that wait at an engine which reads a long prompt, while
    another engine that holds the same shared parts reads none; and requests that an
    engine has to preempt others for, although another one has room. Prompts count as
    unread until the answer begins. What other routers' requests hold is estimated from
    their number, which is told, and the mean of this router's own requests.
    """

    def __init__(self) -> None:
        self._sent: dict[Hashable, _SentPrompt] = {}
        self._engines: dict[ServerKey, _EngineTokens] = {}
        self._mean_tokens = 0.0

    def start(
        self, handle: Hashable, engine: ServerKey, *, n_unread: int, n_tokens: int
    ) -> None:
        """Record that a request was sent to an engine.

        Parameters
        ----------
        handle : hashable
            Identifies the request at this engine.
        engine : tuple of (str, int)
            Incarnation of the engine.
        n_unread : int
            Tokens of its prompt that the engine does not hold.
        n_tokens : int
            Tokens of its prompt and its expected output.
        """
        self.end(handle)
        n_unread, n_tokens = clip_tokens(n_unread), clip_tokens(n_tokens)
        self._sent[handle] = _SentPrompt(engine, n_unread, n_tokens)
        tokens = self._engines.setdefault(engine, _EngineTokens())
        tokens.n_unread += n_unread
        tokens.n_tokens += n_tokens
        tokens.n_requests += 1
        if self._mean_tokens:
            self._mean_tokens += MEAN_WEIGHT * (n_tokens - self._mean_tokens)
        else:
            self._mean_tokens = float(n_tokens)

    def record_begun(self, handle: Hashable) -> None:
        """Record that the answer to a request has begun: its prompt is read."""
        sent = self._sent.get(handle)
        if sent is None or sent.has_begun:
            return
        self._engines[sent.engine].n_unread -= sent.n_unread
        self._sent[handle] = _SentPrompt(sent.engine, 0, sent.n_tokens, True)

    def end(self, handle: Hashable) -> None:
        """Record that a request has left its engine."""
        sent = self._sent.pop(handle, None)
        if sent is None:
            return
        tokens = self._engines[sent.engine]
        tokens.n_unread -= sent.n_unread
        tokens.n_tokens -= sent.n_tokens
        tokens.n_requests -= 1
        if not tokens.n_requests:
            del self._engines[sent.engine]

    def n_unread(self, engine: ServerKey) -> int:
        """Return the tokens of this router's prompts that an engine has to read."""
        tokens = self._engines.get(engine)
        return tokens.n_unread if tokens else 0

    def n_in_memory(self, engine: ServerKey, n_requests: float) -> float:
        """Return the estimated tokens in an engine's memory that cannot yield.

        Parameters
        ----------
        engine : tuple of (str, int)
            Incarnation of the engine.
        n_requests : float
            Estimated number of all routers' requests there.
        """
        tokens = self._engines.get(engine) or _EngineTokens()
        n_others = max(0.0, n_requests - tokens.n_requests)
        return tokens.n_tokens + n_others * self._mean_tokens

    def fits(
        self, engine: ServerKey, *, n_tokens: int, n_requests: float, capacity: int
    ) -> bool:
        """Return whether an engine's memory bears a request beside what runs there.

        Parameters
        ----------
        engine : tuple of (str, int)
            Incarnation of the engine.
        n_tokens : int
            Tokens of the request's prompt and expected output.
        n_requests : float
            Estimated number of all routers' requests at the engine.
        capacity : int
            Tokens that its memory holds; 0 if it is not known.
        """
        if capacity <= 0:
            return True
        held = self.n_in_memory(engine, n_requests)
        return held + clip_tokens(n_tokens) <= capacity
