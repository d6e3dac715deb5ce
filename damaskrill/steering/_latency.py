"""Why an answer came later than its route's target."""

from enum import Enum

from attrs import define

__all__ = ["AnswerTimings", "LatencyCause", "find_latency_cause"]


class LatencyCause(Enum):
    """What most of a late answer's time went to."""

    WAITED_FOR_SERVER = "late_waited_for_server"
    RETRIED = "late_tried_again"
    SLOW_SERVER = "late_slow_server"
    PAUSED_STREAM = "late_paused_stream"

    @property
    def sentence(self) -> str:
        """One plain sentence for people."""
        return LATENCY_SENTENCES[self]


LATENCY_SENTENCES = {
    LatencyCause.WAITED_FOR_SERVER: (
        "the request waited in the router until a backend server could get it"
    ),
    LatencyCause.RETRIED: (
        "an earlier backend server used up the time before another one answered"
    ),
    LatencyCause.SLOW_SERVER: "the backend server took longer than the route's target",
    LatencyCause.PAUSED_STREAM: (
        "the backend server paused between two events longer than the route allows"
    ),
}


@define(kw_only=True)
class AnswerTimings:
    """When things happened to a request, in milliseconds since its arrival.

    Parameters
    ----------
    sent_ms : float or None
        When it was last sent to a backend server; None if it was not.
    first_ms : float or None
        When the first event, or a whole answer, went to the caller; None if none did.
    longest_pause_ms : float
        Longest pause between two events.
    """

    sent_ms: float | None = None
    first_ms: float | None = None
    longest_pause_ms: float = 0.0


def find_latency_cause(
    times: AnswerTimings, *, target_ms: float, max_pause_ms: float, n_sent: int
) -> LatencyCause | None:
    """Return why a completed answer was late; None if it was not.

    Parameters
    ----------
    times : AnswerTimes
        When things happened to the request.
    target_ms : float
        Time in which the first event or the whole answer is due, in milliseconds.
    max_pause_ms : float
        Longest pause between events that is in time, in milliseconds; 0 if any is.
    n_sent : int
        Backend servers that it was sent to.
    """
    if times.first_ms is not None and times.first_ms > target_ms:
        sent_ms = times.sent_ms or 0.0
        if times.first_ms - sent_ms > target_ms:
            return LatencyCause.SLOW_SERVER
        if n_sent > 1:
            return LatencyCause.RETRIED
        if sent_ms > times.first_ms - sent_ms:
            return LatencyCause.WAITED_FOR_SERVER
        return LatencyCause.SLOW_SERVER
    if max_pause_ms and times.longest_pause_ms > max_pause_ms:
        return LatencyCause.PAUSED_STREAM
    return None
