"""Causes of answers that exceed their route's latency target."""

from enum import Enum

from attrs import define

__all__ = ["AnswerTimings", "LatencyCause", "find_latency_cause"]


class LatencyCause(Enum):
    """Main cause of a late answer."""

    WAITED_FOR_SERVER = "late_waited_for_server"
    RETRIED = "late_tried_again"
    SLOW_SERVER = "late_slow_server"
    PAUSED_STREAM = "late_paused_stream"

    @property
    def sentence(self) -> str:
        """Human-readable sentence."""
        return LATENCY_SENTENCES[self]


LATENCY_SENTENCES = {
    LatencyCause.WAITED_FOR_SERVER: (
        "the request waited in the router until a backend server was available"
    ),
    LatencyCause.RETRIED: (
        "time was spent at an earlier backend server before another one answered"
    ),
    LatencyCause.SLOW_SERVER: "the backend server took longer than the route's target",
    LatencyCause.PAUSED_STREAM: (
        "the backend server paused between two events for longer than the route allows"
    ),
}


@define(kw_only=True)
class AnswerTimings:
    """Timings of a request, in milliseconds since its arrival.

    Parameters
    ----------
    sent_ms : float or None
        When it was last sent to a backend server; None if it was not sent.
    first_ms : float or None
        When the first event, or the full answer, was sent to the caller; None if
        nothing was sent.
    longest_pause_ms : float
        Longest pause between two events.
    """

    sent_ms: float | None = None
    first_ms: float | None = None
    longest_pause_ms: float = 0.0


def find_latency_cause(
    timings: AnswerTimings, *, target_ms: float, max_pause_ms: float, n_sent: int
) -> LatencyCause | None:
    """Return why a completed answer was late; None if it was not.

    Parameters
    ----------
    timings : AnswerTimings
        Timings of the request.
    target_ms : float
        Time within which the first event or the full answer is due, in milliseconds.
    max_pause_ms : float
        Longest allowed pause between events, in milliseconds; 0 if unlimited.
    n_sent : int
        Number of backend servers to which the request was sent.
    """
    if timings.first_ms is not None and timings.first_ms > target_ms:
        sent_ms = timings.sent_ms or 0.0
        if timings.first_ms - sent_ms > target_ms:
            return LatencyCause.SLOW_SERVER
        if n_sent > 1:
            return LatencyCause.RETRIED
        if sent_ms > timings.first_ms - sent_ms:
            return LatencyCause.WAITED_FOR_SERVER
        return LatencyCause.SLOW_SERVER
    if max_pause_ms and timings.longest_pause_ms > max_pause_ms:
        return LatencyCause.PAUSED_STREAM
    return None
