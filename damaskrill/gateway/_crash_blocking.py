"""Rejection of requests that crash servers."""

from collections.abc import Callable

from damaskrill.catalog import Team
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._attempt import AttemptResult
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.gateway._outcomes import (
    broke_off_unserved,
    has_crashed,
    may_have_crashed,
    shows_sound_prompt,
    shows_sound_request,
)
from damaskrill.gateway._sent_request import SentRequest
from damaskrill.steering import (
    CrashDetector,
    CrashGuard,
    Refusal,
    Rejection,
    RequestMetadata,
)
from damaskrill.utils import monotonic_now_ms

__all__ = ["CrashBlocking", "build_refusal"]

# A retry does not help, and callers wait a third of their time at most.
RETRY_AFTER_MS = 60_000
# The same while other requests are about to show whether the request is sound.
RETRY_AFTER_UNDECIDED_MS = 1_000


def build_refusal(rejection: Rejection) -> Refusal:
    """Return the refusal of a request that no server has run."""
    return Refusal(
        status=503,
        cause=rejection.cause,
        retry_after_ms=RETRY_AFTER_UNDECIDED_MS
        if rejection.is_undecided
        else RETRY_AFTER_MS,
    )


class CrashBlocking:
    """Records which requests crash servers, and logs what is blocked.

    Parameters
    ----------
    detector : CrashDetector
        Crashes that all routers have reported.
    publish : callable
        Publishes reports to other routers after a short delay.
    find_rank : callable
        Returns this router's rank by rendezvous hash for a key, from 0, and the number
        of routers.
    log : DecisionLog
        Log of decisions.
    metrics : GatewayMetrics
        Metrics of the process.
    """

    def __init__(
        self,
        *,
        detector: CrashDetector,
        publish: Callable[[], None],
        find_rank: Callable[[str], tuple[int, int]],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._detector = detector
        self._publish = publish
        self._find_rank = find_rank
        self._log = log
        self._metrics = metrics

    def guard(self, metadata: RequestMetadata, team: Team | None) -> CrashGuard:
        """Return the guard of a request, given the team of its caller."""
        return CrashGuard(
            detector=self._detector,
            prompt=metadata.prompt,
            fingerprint=metadata.fingerprint_for(team.name if team else ""),
            find_rank=self._find_rank,
        )

    def record_attempt(
        self, guard: CrashGuard, sent: SentRequest, result: AttemptResult
    ) -> None:
        """Record what an attempt shows about its request and prompt."""
        attempt, key, now_ms = sent.attempt, sent.server.key, monotonic_now_ms()
        waited_ms = now_ms - sent.sent_at_ms
        has_begun = has_crashed(result, attempt)
        is_success = shows_sound_prompt(result, attempt)
        is_news = False
        if attempt.is_answered:
            is_news = self._detector.record_answer(key, sent.sent_at_ms)
        if has_begun or may_have_crashed(result, attempt, waited_ms=waited_ms):
            guard.record_crash(key, now_ms, waited_ms=waited_ms, has_begun=has_begun)
            is_news = True
        elif broke_off_unserved(result, attempt):
            is_news = guard.record_late_crash(
                key, now_ms, waited_ms=waited_ms, has_begun=attempt.is_success
            )
        elif is_success or shows_sound_request(result):
            is_news |= guard.record_served(now_ms, is_success=is_success)
        if guard.tried_part is not None:
            self._log.write(
                "prompt_part_tried",
                part=f"{guard.tried_part:08x}",
                backend_server=sent.server.server_id,
                has_crashed=has_begun,
                is_sound=is_success,
            )
        if is_news:
            self._publish()
            self.log_changes()

    def log_changes(self) -> None:
        """Log what is blocked or released by new reports."""
        changes = self._detector.take_changes(monotonic_now_ms())
        for part in sorted(changes.blocked):
            self._metrics.record_blocked(is_request=part in changes.requests)
            if part in changes.requests:
                self._log.warn("request_blocked", fingerprint=f"{part:08x}")
            else:
                self._log_blocked(part)
        for part in sorted(changes.released):
            if part in changes.requests:
                self._log.write("request_released", fingerprint=f"{part:08x}")
            else:
                self._log.write("prompt_part_released", part=f"{part:08x}")

    def _log_blocked(self, part: int) -> None:
        fields: dict[str, object] = {}
        for blocked in self._detector.find_blocked([part], monotonic_now_ms()):
            fields["n_crashes"] = blocked.n_crashes
            fields["n_served"] = blocked.n_served
            fields["alternatives"] = [f"{each:08x}" for each in blocked.alternatives]
        self._log.warn("prompt_part_blocked", part=f"{part:08x}", **fields)
