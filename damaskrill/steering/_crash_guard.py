"""Decisions on one request that may crash servers."""

from collections.abc import Callable, Sequence

from attrs import frozen

from damaskrill.steering._crash_cover import BlockedPart
from damaskrill.steering._crash_detector import CrashDetector
from damaskrill.steering._crash_reports import NO_REQUEST
from damaskrill.steering._gossip import short_id
from damaskrill.steering._metadata import PromptPart
from damaskrill.steering._refusals import RefusalCause

__all__ = ["CrashGuard", "Rejection"]

ServerKey = tuple[str, int]
# Routers that may send requests which decide what crashes servers, as a share of all,
# and the least number, which grows from one in the first turn: some of them get such a
# request soon, and few send one at the same moment.
DECIDING_SHARE = 0.25
MIN_DECIDING_ROUTERS = 3


@frozen(kw_only=True)
class Rejection:
    """Why a request must not be sent to a server.

    Parameters
    ----------
    cause : RefusalCause
        Whether servers crashed under the request or under a part of its prompt.
    detail : str
        Fingerprint of the request, or ID of the part.
    is_undecided : bool, default=False
        Whether the request may turn out to be sound soon.
    """

    cause: RefusalCause
    detail: str
    is_undecided: bool = False


class CrashGuard:
    """Decides whether a request may be sent, and records how its attempts ended.

    Parameters
    ----------
    detector : CrashDetector
        Crashes that all routers have reported.
    prompt : sequence of PromptPart
        Parts of the prompt; the last one is the request's own. Empty if it has none.
    fingerprint : int
        What the request has in common with itself when it comes again.
    find_rank : callable
        Returns this router's rank by rendezvous hash for a key, from 0, and the number
        of routers.
    """

    def __init__(
        self,
        *,
        detector: CrashDetector,
        prompt: Sequence[PromptPart],
        find_rank: Callable[[str], tuple[int, int]],
        fingerprint: int = NO_REQUEST,
    ) -> None:
        self._detector = detector
        self._names = {short_id(part.part_id): part.part_id for part in prompt[:-1]}
        self._fingerprint = fingerprint
        self._suspects = (*self._names, fingerprint) if fingerprint else (*self._names,)
        self._find_rank = find_rank
        self._trial: int | None = None
        self._is_suspected = False

    @property
    def is_suspected(self) -> bool:
        """Whether the request probably crashed the server that it was sent to."""
        return self._is_suspected

    @property
    def tried_part(self) -> int | None:
        """Blocked part that the request tries; None if it tries none."""
        return self._trial

    def is_blocked(self, now_ms: float) -> bool:
        """Return whether the request, or a part of its prompt, is blocked.

        Notes
        -----
        Unlike `find_rejection` it begins no trial, for which a request that a server
        is still running is not suited.
        """
        return bool(self._detector.find_blocked(self._suspects, now_ms))

    def find_rejection(self, now_ms: float) -> Rejection | None:
        """Return why the request must not be sent; None if it may be.

        Notes
        -----
        A request that is let through as a trial of a blocked part must be closed.
        """
        blocked = self._detector.find_blocked(self._suspects, now_ms)
        if not blocked or self._is_trial(blocked, now_ms):
            return None
        part = blocked[0].part
        self._detector.record_rejected(part, now_ms)
        if part in self._names:
            return Rejection(
                cause=RefusalCause.CRASHING_PROMPT,
                detail=f"prompt part {self._names[part]}",
                is_undecided=len(blocked) == 1
                and blocked[0].is_decided_by(self._names),
            )
        return Rejection(
            cause=RefusalCause.CRASHING_REQUEST, detail=f"fingerprint {part:08x}"
        )

    def record_crash(
        self, key: ServerKey, now_ms: float, *, waited_ms: float, has_begun: bool = True
    ) -> None:
        """Record that a server broke off the request just after its beginning.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        now_ms : float
            Current time in milliseconds.
        waited_ms : float
            Time since the request was sent, in milliseconds.
        has_begun : bool, default=True
            Whether an answer had begun, which alone tells of the prompt.
        """
        parts = tuple(self._names) if has_begun else ()
        self._detector.record_crash(
            key, parts, now_ms, request=self._fingerprint, waited_ms=waited_ms
        )
        self._is_suspected = self._detector.is_suspected(
            self._suspects if has_begun else (self._fingerprint,),
            besides=key,
            now_ms=now_ms,
        )

    def record_late_crash(
        self, key: ServerKey, now_ms: float, *, waited_ms: float, has_begun: bool
    ) -> bool:
        """Record that a server broke off the request long after its beginning.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        now_ms : float
            Current time in milliseconds.
        waited_ms : float
            Time since the request was sent, in milliseconds.
        has_begun : bool
            Whether an answer had begun, which alone tells of the prompt.

        Returns
        -------
        bool
            Whether other routers must be told.

        Notes
        -----
        Load pattern: requests crash each server seconds after it has begun to run them.
        A crash for another reason catches many that wait, or run for long. Only those
        that have never been served may have caused it, and these are not taken for the
        cause before several crashes have caught them.
        """
        detector = self._detector
        parts = [] if not has_begun else detector.find_unserved(self._names)
        request = self._fingerprint
        if not detector.find_unserved([request]):
            request = NO_REQUEST
        if not parts and request == NO_REQUEST:
            return False
        detector.record_crash(key, parts, now_ms, request=request, waited_ms=waited_ms)
        return True

    def record_served(self, now_ms: float, *, is_success: bool = True) -> bool:
        """Record that an answer shows the request to be sound.

        Parameters
        ----------
        now_ms : float
            Current time in milliseconds.
        is_success : bool, default=True
            Whether it was a success, which alone tells of the prompt.

        Returns
        -------
        bool
            Whether other routers must be told.
        """
        sound = self._suspects if is_success else self._suspects[len(self._names) :]
        return self._detector.record_served(sound, now_ms)

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
        is_deciding = only.is_decided_by(self._names)
        if self._trial == only.part:
            return is_deciding or now_ms >= only.trial_at_ms
        may_try = self._may_try(only, now_ms) or (
            is_deciding and self._may_decide(only, now_ms)
        )
        if not may_try:
            return False
        if not self._detector.try_begin_trial(only.part):
            return False
        self._trial = only.part
        return True

    def _may_try(self, blocked: BlockedPart, now_ms: float) -> bool:
        key = blocked.trial_key(now_ms)
        return key is not None and self._find_rank(key)[0] == 0

    def _may_decide(self, blocked: BlockedPart, now_ms: float) -> bool:
        turn = blocked.deciding_turn(now_ms)
        if turn is None:
            return False
        rank, n_routers = self._find_rank(f"{blocked.part} deciding {turn}")
        least = min(turn + 1, MIN_DECIDING_ROUTERS)
        return rank < max(least, DECIDING_SHARE * n_routers)
