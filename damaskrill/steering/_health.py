"""Health tracking of backend servers by the outcomes of their requests."""

import math
from enum import Enum

from attrs import define

__all__ = ["HealthTracker", "ServerOutcome"]

ServerKey = tuple[str, int]
# Time in which the weight of an outcome decays to 1/e, about a third.
DECAY_TIME_MS = 5_000
# Weighted failures, and fraction of failed outcomes, from which a server is ejected.
MIN_FAILURES = 2.2
MIN_FAILURE_RATE = 0.35
# The first ejection outlasts a reconnect, the longest one a cold start.
INITIAL_EJECTION_MS = 1_000
MAX_EJECTION_MS = 5_000
# Reports of many routers are more reliable than the few outcomes seen by one router.
INITIAL_REPORTED_EJECTION_MS = 3_000


class ServerOutcome(Enum):
    """Outcome of a request at a backend server."""

    GOOD = "good"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    ERROR_STATUS = "error_status"
    FULL = "full"
    SILENT = "silent"
    SILENT_CONNECTION = "silent_connection"
    STALLED = "stalled"
    REPLACED = "gone"

    @property
    def is_unreachable(self) -> bool:
        """Whether the server cannot be reached, regardless of its earlier answers."""
        return self in UNREACHABLE

    @property
    def sentence(self) -> str:
        """Human-readable sentence."""
        return OUTCOME_SENTENCES[self]


OUTCOME_SENTENCES = {
    ServerOutcome.GOOD: "the server answered",
    ServerOutcome.NO_CONNECTION: "no connection to the server could be opened",
    ServerOutcome.BROKEN: "the server's answer was interrupted or is invalid",
    ServerOutcome.ERROR_STATUS: "the server answered with an error status",
    ServerOutcome.FULL: "the server refused the request and has not run it",
    ServerOutcome.SILENT: "the server did not answer in time",
    ServerOutcome.SILENT_CONNECTION: (
        "the server did not acknowledge any data on the connection"
    ),
    ServerOutcome.STALLED: (
        "the server sent nothing for so long that the router ended the attempt"
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
    """Decayed outcome counts and ejection state of one server incarnation."""

    n_succeeded: float = 0.0
    n_failed: float = 0.0
    at_ms: float = 0.0
    ejection_ms: float = 0.0
    ejected_until_ms: float = 0.0


class HealthTracker:
    """Temporarily ejects servers whose requests fail.

    Notes
    -----
    Handles a server that fails a fraction of its requests while its health check
    passes. An unreachable server is ejected immediately. The ejection time doubles
    while failures continue, up to a limit. No server is ejected permanently: after each
    ejection, new requests show its state.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerKey, _ServerHealth] = {}

    def record(self, key: ServerKey, outcome: ServerOutcome, now_ms: float) -> bool:
        """Record an outcome.

        Returns
        -------
        bool
            Whether the outcome caused an ejection of the server.
        """
        health = self._servers.setdefault(key, _ServerHealth(at_ms=now_ms))
        decay = math.exp((health.at_ms - now_ms) / DECAY_TIME_MS)
        health.n_succeeded *= decay
        health.n_failed *= decay
        health.at_ms = now_ms
        if outcome is ServerOutcome.GOOD:
            health.n_succeeded += 1
            if now_ms >= health.ejected_until_ms and health.n_failed < 1:
                health.ejection_ms = 0.0
            return False
        health.n_failed += 1
        n_outcomes = health.n_succeeded + health.n_failed
        is_failing = (
            health.n_failed >= MIN_FAILURES
            and health.n_failed >= MIN_FAILURE_RATE * n_outcomes
        )
        if outcome.is_unreachable or is_failing:
            return self._eject(health, now_ms)
        return False

    def eject(self, key: ServerKey, now_ms: float) -> bool:
        """Eject a server because of reports from other routers.

        Returns
        -------
        bool
            False if the server was already ejected.
        """
        health = self._servers.setdefault(key, _ServerHealth(at_ms=now_ms))
        return self._eject(health, now_ms, initial_ms=INITIAL_REPORTED_EJECTION_MS)

    def is_ejected(self, key: ServerKey, now_ms: float) -> bool:
        """Return whether a server gets requests only if no other is available."""
        health = self._servers.get(key)
        return health is not None and now_ms < health.ejected_until_ms

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard the state of all other incarnations."""
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
