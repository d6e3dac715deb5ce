"""Decisions on one request whose prompt may crash servers."""

from collections.abc import Callable, Sequence

from damaskrill.steering._crash_cover import BlockedPart
from damaskrill.steering._crash_detector import CrashDetector
from damaskrill.steering._gossip import short_id
from damaskrill.steering._metadata import PromptPart

__all__ = ["PromptGuard"]

ServerKey = tuple[str, int]


class PromptGuard:
    """Decides whether a request with a prompt may be sent, and records its attempts.

    Parameters
    ----------
    detector : CrashDetector
        Crashes that all routers have reported.
    prompt : sequence of PromptPart
        Parts of the prompt; the last one is the request's own.
    ranks_first : callable
        Returns whether this router is the first one by rendezvous hash for a key.
    """

    def __init__(
        self,
        *,
        detector: CrashDetector,
        prompt: Sequence[PromptPart],
        ranks_first: Callable[[str], bool],
    ) -> None:
        self._detector = detector
        self._names = {short_id(part.part_id): part.part_id for part in prompt[:-1]}
        self._ranks_first = ranks_first
        self._trial: int | None = None
        self._is_suspected = False

    @property
    def is_suspected(self) -> bool:
        """Whether the request probably crashed the server that it was sent to."""
        return self._is_suspected

    def find_rejected(self, now_ms: float) -> str:
        """Return the ID of a part for which the request must not be sent, or nothing.

        Notes
        -----
        A request that is let through as a trial of a blocked part must be closed.
        """
        if not self._names:
            return ""
        blocked = self._detector.find_blocked(self._names, now_ms)
        if not blocked or self._is_trial(blocked, now_ms):
            return ""
        part = blocked[0].part
        self._detector.record_rejected(part, now_ms)
        return self._names[part]

    def record_crash(self, key: ServerKey, now_ms: float) -> None:
        """Record that a server broke off the answer just after its beginning.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        now_ms : float
            Current time in milliseconds.
        """
        if not self._names:
            return
        self._detector.record_crash(key, tuple(self._names), now_ms)
        self._is_suspected = self._detector.is_suspected(
            self._names, besides=key, now_ms=now_ms
        )

    def record_served(self, now_ms: float) -> bool:
        """Record that an answer shows the parts to be sound.

        Returns
        -------
        bool
            Whether other routers must be told.
        """
        return self._detector.record_served(self._names, now_ms)

    def close(self) -> None:
        """End the request, and with it the trial of a part."""
        if self._trial is not None:
            self._detector.end_trial(self._trial)
            self._trial = None

    def _is_trial(self, blocked: Sequence[BlockedPart], now_ms: float) -> bool:
        # A request with two blocked parts could not show which of them is sound.
        if len(blocked) > 1:
            return False
        (only,) = blocked
        if self._trial == only.part:
            return now_ms >= only.trial_at_ms
        key = only.trial_key(now_ms)
        if key is None or not self._ranks_first(key):
            return False
        if not self._detector.try_begin_trial(only.part):
            return False
        self._trial = only.part
        return True
