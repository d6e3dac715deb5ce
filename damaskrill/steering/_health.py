"""Judges backend servers by what their answers show."""

import math
from enum import Enum

from attrs import define

__all__ = ["HealthTracker", "Verdict"]

ServerKey = tuple[str, int]
# Time in which the weight of an outcome falls to a third.
MEMORY_MS = 5_000
# Failures that are needed before a server is left out, and the part of its outcomes.
MIN_FAILURES = 2.2
MIN_FAILED_PART = 0.35
# The first pause outlasts a restart of a connection, the longest one a cold start.
FIRST_PAUSE_MS = 1_000
MAX_PAUSE_MS = 5_000
# What many routers have seen is surer than the few outcomes that one router has.
FIRST_TOLD_PAUSE_MS = 3_000


class Verdict(Enum):
    """How a request ended at a server."""

    GOOD = "good"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    ERROR_STATUS = "error_status"
    FULL = "full"
    SILENT = "silent"
    SILENT_CONNECTION = "silent_connection"
    GONE = "gone"

    @property
    def is_unreached(self) -> bool:
        """Whether the path to the server is gone, whatever it answered before."""
        return self in UNREACHED

    @property
    def sentence(self) -> str:
        """One plain sentence for people."""
        return VERDICT_SENTENCES[self]


VERDICT_SENTENCES = {
    Verdict.GOOD: "the server answered",
    Verdict.NO_CONNECTION: "no connection to the server could be opened",
    Verdict.BROKEN: "the server's answer broke off or cannot be used",
    Verdict.ERROR_STATUS: "the server answered that it failed",
    Verdict.FULL: "the server refused the request, which it has not run",
    Verdict.SILENT: "the server gave no answer for long",
    Verdict.SILENT_CONNECTION: "the server acknowledged nothing on the connection",
    Verdict.GONE: "another server answered at the address of this one",
}
UNREACHED = (Verdict.NO_CONNECTION, Verdict.SILENT_CONNECTION, Verdict.GONE)


@define(kw_only=True)
class _Health:
    """Outcomes of one incarnation."""

    n_good: float = 0.0
    n_failed: float = 0.0
    at_ms: float = 0.0
    pause_ms: float = 0.0
    paused_until_ms: float = 0.0


class HealthTracker:
    """Leaves servers out for a while whose requests fail.

    Notes
    -----
    Answers the pattern of a server that fails part of its requests while its health
    check is good. A server that cannot be reached is left out at once. The pause
    grows while failures go on, and a server is never barred for good: after each
    pause, requests show how it is.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerKey, _Health] = {}

    def note(self, key: ServerKey, verdict: Verdict, now_ms: float) -> bool:
        """Take an outcome.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
        """
        health = self._servers.setdefault(key, _Health(at_ms=now_ms))
        fading = math.exp((health.at_ms - now_ms) / MEMORY_MS)
        health.n_good *= fading
        health.n_failed *= fading
        health.at_ms = now_ms
        if verdict is Verdict.GOOD:
            health.n_good += 1
            if now_ms >= health.paused_until_ms and health.n_failed < 1:
                health.pause_ms = 0.0
            return False
        health.n_failed += 1
        n_outcomes = health.n_good + health.n_failed
        is_bad = (
            health.n_failed >= MIN_FAILURES
            and health.n_failed >= MIN_FAILED_PART * n_outcomes
        )
        if verdict.is_unreached or is_bad:
            return self._pause(health, now_ms)
        return False

    def leave_out(self, key: ServerKey, now_ms: float) -> bool:
        """Leave a server out because of what other routers tell.

        Returns
        -------
        bool
            Whether it is left out from now on because of it.
        """
        health = self._servers.setdefault(key, _Health(at_ms=now_ms))
        return self._pause(health, now_ms, first_pause_ms=FIRST_TOLD_PAUSE_MS)

    def is_left_out(self, key: ServerKey, now_ms: float) -> bool:
        """Whether a server should get nothing if others are there."""
        health = self._servers.get(key)
        return health is not None and now_ms < health.paused_until_ms

    def forget_all_but(self, keys: set[ServerKey]) -> None:
        """Forget incarnations that are gone."""
        for key in list(self._servers):
            if key not in keys:
                del self._servers[key]

    def _pause(
        self,
        health: _Health,
        now_ms: float,
        *,
        first_pause_ms: float = FIRST_PAUSE_MS,
    ) -> bool:
        if now_ms < health.paused_until_ms:
            return False
        health.pause_ms = min(MAX_PAUSE_MS, max(health.pause_ms * 2, first_pause_ms))
        health.paused_until_ms = now_ms + health.pause_ms
        return True
