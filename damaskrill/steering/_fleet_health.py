"""Which backend servers are left out, by what this router and the others have seen."""

from collections.abc import Sequence

from damaskrill.steering._failure_detector import FailureDetector
from damaskrill.steering._health import HealthTracker, ServerOutcome

__all__ = ["FleetHealth"]

ServerKey = tuple[str, int]
# Part of a service's servers that what other routers tell can leave out; the others
# have to bear their load.
MAX_REPORTED_FRACTION = 1 / 3


class FleetHealth:
    """Joins a router's own judgement of servers with what other routers tell.

    Parameters
    ----------
    detector : FailureBoard
        What routers tell each other.

    Notes
    -----
    A server that is full is judged by this router alone: the servers of a service are
    often full together, and the load of one that is left out comes to the others.
    """

    def __init__(self, *, detector: FailureDetector) -> None:
        self._detector = detector
        self._tracker = HealthTracker()

    def record(self, key: ServerKey, outcome: ServerOutcome, now_ms: float) -> bool:
        """Take how a request ended at a server.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
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
        """Judge a server of which other routers have told something new.

        Parameters
        ----------
        key : tuple of (str, int)
            The incarnation.
        service : sequence of tuple of (str, int)
            All servers of its service that may get requests.
        fleet_per_s : float
            Requests a second for the service from all routers.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        bool
            Whether the server is left out from now on because of it.
        """
        n_out = sum(self._tracker.is_ejected(each, now_ms) for each in service)
        if n_out + 1 > MAX_REPORTED_FRACTION * len(service):
            return False
        is_bad = self._detector.is_suspected(
            key, expected_per_s=fleet_per_s / len(service), now_ms=now_ms
        )
        if not is_bad or not self._tracker.eject(key, now_ms):
            return False
        self._detector.discard(key)
        return True

    def is_ejected(self, key: ServerKey, now_ms: float) -> bool:
        """Whether a server should get nothing if others are there."""
        return self._tracker.is_ejected(key, now_ms)

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Forget incarnations that are gone."""
        self._tracker.retain_only(keys)
        self._detector.retain_only(keys)
