"""Judges backend servers by what their answers show."""

import math
from enum import Enum

from attrs import define

__all__ = ["HealthTracker", "ServerOutcome"]

ServerKey = tuple[str, int]
# Time in which the weight of an outcome falls to a third.
DECAY_TIME_MS = 5_000
# Failures that are needed before a server is left out, and the part of its outcomes.
MIN_FAILURES = 2.2
MIN_FAILURE_RATE = 0.35
# The first pause outlasts a restart of a connection, the longest one a cold start.
INITIAL_EJECTION_MS = 1_000
MAX_EJECTION_MS = 5_000
# What many routers have seen is surer than the few outcomes that one router has.
INITIAL_REPORTED_EJECTION_MS = 3_000


class ServerOutcome(Enum):
    """How a request ended at a server."""

    GOOD = "good"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    ERROR_STATUS = "error_status"
    FULL = "full"
    SILENT = "silent"
    SILENT_CONNECTION = "silent_connection"
    REPLACED = "gone"

    @property
    def is_unreachable(self) -> bool:
        """Whether the path to the server is gone, whatever it answered before."""
        return self in UNREACHABLE

    @property
    def sentence(self) -> str:
        """One plain sentence for people."""
        return OUTCOME_SENTENCES[self]


OUTCOME_SENTENCES = {
    ServerOutcome.GOOD: "the server answered",
    ServerOutcome.NO_CONNECTION: "no connection to the server could be opened",
    ServerOutcome.BROKEN: "the server's answer broke off or cannot be used",
    ServerOutcome.ERROR_STATUS: "the server answered that it failed",
    ServerOutcome.FULL: "the server refused the request, which it has not run",
    ServerOutcome.SILENT: "the server gave no answer for long",
    ServerOutcome.SILENT_CONNECTION: (
        "the server acknowledged nothing on the connection"
    ),
    ServerOutcome.REPLACED: "another server answered at the address of this one",
}
UNREACHABLE = (
    ServerOutcome.NO_CONNECTION,
    ServerOutcome.SILENT_CONNECTION,
    ServerOutcome.REPLACED,
)


@define(kw_only=True)
class _ServerHealth:
    """Outcomes of one incarnation."""

    n_succeeded: float = 0.0
    n_failed: float = 0.0
    at_ms: float = 0.0
    ejection_ms: float = 0.0
    ejected_until_ms: float = 0.0


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
        self._servers: dict[ServerKey, _ServerHealth] = {}

    def record(self, key: ServerKey, outcome: ServerOutcome, now_ms: float) -> bool:
        """Take an outcome.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
        """
        health = self._servers.setdefault(key, _ServerHealth(at_ms=now_ms))
        fading = math.exp((health.at_ms - now_ms) / DECAY_TIME_MS)
        health.n_succeeded *= fading
        health.n_failed *= fading
        health.at_ms = now_ms
        if outcome is ServerOutcome.GOOD:
            health.n_succeeded += 1
            if now_ms >= health.ejected_until_ms and health.n_failed < 1:
                health.ejection_ms = 0.0
            return False
        health.n_failed += 1
        n_outcomes = health.n_succeeded + health.n_failed
        is_bad = (
            health.n_failed >= MIN_FAILURES
            and health.n_failed >= MIN_FAILURE_RATE * n_outcomes
        )
        if outcome.is_unreachable or is_bad:
            return self._eject(health, now_ms)
        return False

    def eject(self, key: ServerKey, now_ms: float) -> bool:
        """Leave a server out because of what other routers tell.

        Returns
        -------
        bool
            Whether it is left out from now on because of it.
        """
        health = self._servers.setdefault(key, _ServerHealth(at_ms=now_ms))
        return self._eject(health, now_ms, initial_ms=INITIAL_REPORTED_EJECTION_MS)

    def is_ejected(self, key: ServerKey, now_ms: float) -> bool:
        """Whether a server should get nothing if others are there."""
        health = self._servers.get(key)
        return health is not None and now_ms < health.ejected_until_ms

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Forget incarnations that are gone."""
        for key in list(self._servers):
            if key not in keys:
                del self._servers[key]

    def _eject(
        self,
        health: _ServerHealth,
        now_ms: float,
        *,
        initial_ms: float = INITIAL_EJECTION_MS,
    ) -> bool:
        if now_ms < health.ejected_until_ms:
            return False
        health.ejection_ms = min(
            MAX_EJECTION_MS, max(health.ejection_ms * 2, initial_ms)
        )
        health.ejected_until_ms = now_ms + health.ejection_ms
        return True
