"""Causes for which an owner refuses an attempt."""

from damaskrill.admission._bound import BoundReason, LoadBound, reachable_share
from damaskrill.admission._reachability import Reachability
from damaskrill.admission._server import OwnedServer
from damaskrill.messages import Cause, CauseCode, FleetView, Member, OfferAttempt

__all__ = ["causes_of_bound", "find_view_refusal"]


def find_view_refusal(
    offer: OfferAttempt, view: FleetView | None, own: Member
) -> Cause | None:
    """Return why the view rules out an attempt regardless of load, or None.

    Parameters
    ----------
    offer : OfferAttempt
        The offer.
    view : FleetView or None
        Active view, if there is one.
    own : Member
        This process.
    """
    if view is None or view.text.version == 0:
        return Cause(code=CauseCode.NO_TEXT)
    if not view.trusted:
        return Cause(code=CauseCode.PAUSED, subject=own.address)
    service = offer.request.service
    server = view.text.backend_servers.get(offer.backend_server)
    if server is None or server.service != service:
        return Cause(code=CauseCode.NO_BACKEND_SERVER, subject=service)
    if server not in view.servers_by_service.get(service, ()):
        return Cause(code=CauseCode.BACKEND_SERVER_LEAVING, subject=server.name)
    if offer.remaining_ms <= 0:
        return Cause(code=CauseCode.DEADLINE, at_ms=0)
    return None


def causes_of_bound(
    server: OwnedServer,
    bound: LoadBound,
    view: FleetView,
    *,
    load: int,
    reachability: Reachability,
) -> tuple[Cause, ...]:
    """Return why the bound of a server admits no further request now.

    Parameters
    ----------
    server : OwnedServer
        The server.
    bound : LoadBound
        Bound that was applied.
    view : FleetView
        Active view.
    load : int
        Load of the server.
    reachability : Reachability
        Reachability that was applied.
    """
    name = server.spec.name
    detail = f"load {load} of at most {bound.value}"
    share = reachable_share(
        bound.value,
        n_reachable=reachability.n_reachable,
        n_listed=reachability.n_listed,
    )
    if load + 1 <= bound.value and server.load.n_own + 1 > share:
        split = f"{reachability.n_reachable} of {reachability.n_listed} routers"
        return (
            Cause(
                code=CauseCode.AT_LIMIT,
                subject=name,
                detail=f"the share of this side is {share}",
            ),
            Cause(code=CauseCode.PARTITIONED, subject=view.own.address, detail=split),
        )
    match bound.reason:
        case BoundReason.COLD:
            return (Cause(code=CauseCode.COLD, subject=name, detail=detail),)
        case BoundReason.MULTIPLE_OF_MEAN:
            detail += f", {view.text.limits.load_multiple_percent}% of the mean load"
        case BoundReason.SLOW:
            detail += ", lowered because token times exceed their objectives"
        case BoundReason.CAPACITY:
            detail += ", the capacity of the server"
    return (Cause(code=CauseCode.AT_LIMIT, subject=name, detail=detail),)
