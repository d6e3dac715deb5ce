"""Messages between a router that needs a slot and the scheduler of the service."""

from enum import Enum

from attrs import frozen

from damaskrill.steering import ServerLoad

__all__ = [
    "ReleaseOutcome",
    "SlotAssignment",
    "SlotDecision",
    "SlotQueued",
    "SlotRefusal",
    "SlotRefusalReason",
    "SlotRelease",
    "SlotRequest",
]


class SlotRefusalReason(Enum):
    """Why a request gets no slot."""

    NO_TIME = "no_time"
    TEAM_SHARE = "team_share"
    NO_SERVER = "no_server"


class ReleaseOutcome(Enum):
    """How the use of a slot ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    REJECTED = "rejected"
    UNUSED = "unused"
    BROKEN = "broken"


@frozen(kw_only=True)
class SlotRequest:
    """Request for a slot at one server of a service.

    Parameters
    ----------
    router : str
        Address of the router that asks.
    number : int
        Number of the request at that router.
    service : str
        Service that is to run the caller's request.
    team : str
        The caller's team; empty if it has none.
    priority : int
        Priority of the team, else of the route; 0 is the highest.
    target_left_ms, limit_left_ms : float
        Time left until the target latency and until the request ends without an
        answer, in milliseconds; the former may be negative.
    excluded : frozenset of int
        Short hashes of the servers that may not run it.
    """

    router: str
    number: int
    service: str
    team: str = ""
    priority: int = 0
    target_left_ms: float
    limit_left_ms: float
    excluded: frozenset[int] = frozenset()


@frozen(kw_only=True)
class SlotAssignment:
    """Slot at a server, which the router holds until it releases it.

    Parameters
    ----------
    router, number
        As in the request.
    server : int
        Short hash of the server's incarnation.
    predicted_ms, waited_ms : float
        Predicted and real time that the request waited, in milliseconds.
    n_ahead : int
        Number of requests that waited before it when it arrived.
    """

    router: str
    number: int
    server: int
    predicted_ms: float = 0.0
    waited_ms: float = 0.0
    n_ahead: int = 0


@frozen(kw_only=True)
class SlotRefusal:
    """Refusal of a request that cannot be served in time.

    Parameters
    ----------
    router, number
        As in the request.
    reason : SlotRefusalReason
        Why it gets no slot.
    predicted_ms : float
        Predicted wait, in milliseconds.
    retry_after_ms : float
        Time after which a slot is expected to be free, in milliseconds.
    n_ahead : int
        Number of requests that waited before it.
    """

    router: str
    number: int
    reason: SlotRefusalReason
    predicted_ms: float
    retry_after_ms: float
    n_ahead: int = 0


@frozen(kw_only=True)
class SlotQueued:
    """Notice that a request waits: refused only if servers are lost or its limit ends.

    Parameters
    ----------
    router, number
        As in the request.
    predicted_ms : float
        Predicted wait, in milliseconds.
    n_ahead : int
        Number of requests that wait before it.
    """

    router: str
    number: int
    predicted_ms: float
    n_ahead: int = 0


SlotDecision = SlotAssignment | SlotQueued | SlotRefusal


@frozen(kw_only=True)
class SlotRelease:
    """End of the use of a slot, or withdrawal of a request that still waits.

    Parameters
    ----------
    router, number
        As in the request.
    outcome : ReleaseOutcome
        How it ended.
    duration_ms : float
        Time from sending the request to its end, in milliseconds.
    load : ServerLoad or None
        Load that the server stated in its answer.
    """

    router: str
    number: int
    outcome: ReleaseOutcome
    duration_ms: float = 0.0
    load: ServerLoad | None = None
