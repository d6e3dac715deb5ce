"""Rejection of requests whose prompts crash servers."""

from collections.abc import Callable

from damaskrill.catalog import BackendServer
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._attempt import Attempt, AttemptResult
from damaskrill.gateway._metrics import GatewayMetrics
from damaskrill.gateway._outcomes import has_crashed, shows_sound_prompt
from damaskrill.steering import (
    CrashDetector,
    PromptGuard,
    Refusal,
    RefusalCause,
    RequestMetadata,
)
from damaskrill.utils import monotonic_now_ms

__all__ = ["PROMPT_REJECTED", "PromptBlocking"]

# A retry does not help, and callers wait a third of their time at most.
RETRY_AFTER_MS = 60_000
PROMPT_REJECTED = Refusal(
    status=503, cause=RefusalCause.CRASHING_PROMPT, retry_after_ms=RETRY_AFTER_MS
)


class PromptBlocking:
    """Records which prompts crash servers, and logs which parts are blocked.

    Parameters
    ----------
    detector : CrashDetector
        Crashes that all routers have reported.
    publish : callable
        Publishes reports to other routers after a short delay.
    ranks_first : callable
        Returns whether this router is the first one by rendezvous hash for a key.
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
        ranks_first: Callable[[str], bool],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._detector = detector
        self._publish = publish
        self._ranks_first = ranks_first
        self._log = log
        self._metrics = metrics

    def guard(self, metadata: RequestMetadata) -> PromptGuard:
        """Return the guard of a request."""
        return PromptGuard(
            detector=self._detector,
            prompt=metadata.prompt,
            ranks_first=self._ranks_first,
        )

    def record_attempt(
        self,
        guard: PromptGuard,
        server: BackendServer,
        attempt: Attempt,
        result: AttemptResult,
    ) -> None:
        """Record what an attempt shows about its prompt."""
        now_ms = monotonic_now_ms()
        if has_crashed(result, attempt):
            guard.record_crash(server.key, now_ms)
            self._publish()
        elif shows_sound_prompt(result, attempt):
            if not guard.record_served(now_ms):
                return
            self._publish()
        else:
            return
        self.log_changes()

    def log_changes(self) -> None:
        """Log the parts that are blocked or released by new reports."""
        changes = self._detector.take_changes(monotonic_now_ms())
        for part in sorted(changes.blocked):
            self._metrics.record_blocked_part()
            self._log.warn("prompt_part_blocked", part=f"{part:08x}")
        for part in sorted(changes.released):
            self._log.write("prompt_part_released", part=f"{part:08x}")
