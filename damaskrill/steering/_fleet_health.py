"""Ejection of backend servers by local outcomes and by reports of other routers."""

from collections.abc import Sequence

from damaskrill.steering._failure_detector import FailureDetector
from damaskrill.steering._health import HealthTracker, ServerOutcome

__all__ = ["FleetHealth"]

ServerKey = tuple[str, int]
# Fraction of a service's servers that reports of other routers may eject: the remaining
# servers have to carry their load.
MAX_REPORTED_FRACTION = 1 / 3


class FleetHealth:
    """Combines local outcomes with the failure reports of other routers.

    Parameters
    ----------
    detector : FailureDetector
        Failure reports of all routers.

    Notes
    -----
    Refusals by a full server are counted only locally and not published. The servers of
    a service are often full at the same time, and the load of an ejected server moves
    to the others.
    """

    def __init__(self, *, detector: FailureDetector) -> None:
        self._detector = detector
        self._tracker = HealthTracker()

    def record(self, key: ServerKey, outcome: ServerOutcome, now_ms: float) -> bool:
        """Record the outcome of a request at a server.

        Returns
        -------
        bool
            Whether the outcome caused an ejection of the server.
        """
        match outcome:
            case ServerOutcome.GOOD:
                self._detector.record_success(key)
            case ServerOutcome.FULL:
                pass
            case _:
                self._detector.record_failure(
                    key, is_unreachable=outcome.is_unreachable, now_ms=now_ms
                )
        if not self._tracker.record(key, outcome, now_ms):
            return False
        self._detector.discard(key)
        return True

    def evaluate_reports(
        self,
        key: ServerKey,
        *,
        service: Sequence[ServerKey],
        fleet_per_s: float,
        now_ms: float,
    ) -> bool:
        """Evaluate new failure reports of other routers about a server.

        Parameters
        ----------
        key : tuple of (str, int)
            Incarnation of the server.
        service : sequence of tuple of (str, int)
            All servers of its service that may get requests.
        fleet_per_s : float
            Requests per second for the service from all routers.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the reports caused an ejection of the server.
        """
        n_ejected = sum(self._tracker.is_ejected(each, now_ms) for each in service)
        if n_ejected + 1 > MAX_REPORTED_FRACTION * len(service):
            return False
        is_suspected = self._detector.is_suspected(
            key, expected_per_s=fleet_per_s / len(service), now_ms=now_ms
        )
        if not is_suspected or not self._tracker.eject(key, now_ms):
            return False
        self._detector.discard(key)
        return True

    def is_ejected(self, key: ServerKey, now_ms: float) -> bool:
        """Return whether a server gets requests only if no other is available."""
        return self._tracker.is_ejected(key, now_ms)

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard the state of all other incarnations."""
        self._tracker.retain_only(keys)
        self._detector.retain_only(keys)
