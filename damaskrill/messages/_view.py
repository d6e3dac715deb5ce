"""Fleet view of a router."""

from attrs import field, frozen

from damaskrill.configuration._model import BackendServerSpec, FleetText
from damaskrill.messages._base import InternalMessage
from damaskrill.messages._peers import Member

__all__ = ["FleetView", "FleetViewChanged"]


@frozen(kw_only=True)
class FleetView:
    """Immutable fleet view that all deciders of one kernel share.

    Parameters
    ----------
    text : FleetText
        Active text; version 0 means none.
    own : Member
        This process.
    members : tuple of Member
        Routers that are considered alive, including this process.
    n_listed, n_reachable : int
        Number of listed routers, and of those that answer; including this process.
    trusted : bool
        Whether the view is recent enough to admit work.
    leaving_addresses : frozenset of str
        Addresses of backend servers that are leaving according to the host list.
    returned_at_ms : dict of str to int
        Time at which each data centre returned to service, in milliseconds.
    servers_by_service : dict of str to tuple of BackendServerSpec
        Backend servers of each service that accept new work.
    """

    text: FleetText
    own: Member
    members: tuple[Member, ...] = ()
    n_listed: int = 1
    n_reachable: int = 1
    trusted: bool = True
    leaving_addresses: frozenset[str] = frozenset()
    returned_at_ms: dict[str, int] = field(factory=dict)
    servers_by_service: dict[str, tuple[BackendServerSpec, ...]] = field(factory=dict)


@frozen(kw_only=True)
class FleetViewChanged(InternalMessage):
    """The view has been replaced."""

    view: FleetView
