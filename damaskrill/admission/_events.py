"""Log events of an owner."""

from damaskrill.admission._ramp import ColdReason
from damaskrill.admission._server import OwnedServer
from damaskrill.messages import Cause, EventName, LoggedEvent, OfferAttempt

__all__ = ["attempt_event", "cold_events", "server_event"]


def server_event(
    name: EventName, server: OwnedServer, *, detail: str = ""
) -> LoggedEvent:
    """Return a log event about a backend server."""
    return LoggedEvent(
        name=name,
        backend_server=server.spec.name,
        service=server.spec.service,
        data_centre=server.spec.data_centre,
        detail=detail,
    )


def cold_events(
    server: OwnedServer, reason: ColdReason | None
) -> tuple[LoggedEvent, ...]:
    """Return the log event of a cold start, if there was one."""
    if reason is None:
        return ()
    return (server_event(EventName.SERVER_COLD, server, detail=reason.value),)


def attempt_event(
    name: EventName,
    offer: OfferAttempt,
    *,
    causes: tuple[Cause, ...] = (),
    load: int = 0,
    load_bound: int = 0,
    wait_ms: int = 0,
    latency_ms: int = 0,
) -> LoggedEvent:
    """Return a log event about an attempt."""
    request = offer.request
    return LoggedEvent(
        name=name,
        request_id=request.request_id,
        attempt_id=offer.attempt_id,
        service=request.service,
        team=request.team,
        backend_server=offer.backend_server,
        causes=causes,
        load=load,
        load_bound=load_bound,
        wait_ms=wait_ms,
        latency_ms=latency_ms,
        text_version=offer.text_version,
    )
