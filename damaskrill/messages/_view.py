"""What a router holds to be true of the fleet."""

from attrs import field, frozen

from damaskrill.configuration._model import BackendServerSpec, FleetText
from damaskrill.messages._base import InternalMessage
from damaskrill.messages._peers import Member

__all__ = ["FleetView", "FleetViewChanged"]


@frozen(kw_only=True)
class FleetView:
    """Immutable view that all deciders of one kernel share.

    Parameters
    ----------
    text : FleetText
        Text in force; version 0 means none.
    own : Member
        This process.
    members : tuple of Member
        Routers that are thought to be alive, this process included.
    n_listed, n_reachable : int
        Listed routers, and how many of them answer; this process included.
    trusted : bool
        Whether the view is fresh enough to admit work.
    leaving_addresses : frozenset of str
        Backend servers that the host list names as leaving.
    returned_at_ms : dict of str to int
        When each data centre that had been taken out came back, in milliseconds.
    servers_by_service : dict of str to tuple of BackendServerSpec
        Backend servers of each service that may receive new work.
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
