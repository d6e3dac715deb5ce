"""Sums of loads on their way between routers."""

from enum import Enum

from attrs import frozen

from damaskrill.messages._base import PeerPayload

__all__ = ["LoadScope", "LoadSums"]


class LoadScope(Enum):
    """What the sums of a message are over."""

    ROUTER = "router"
    DATA_CENTRE = "data_centre"
    FLEET = "fleet"


@frozen(kw_only=True)
class LoadSums(PeerPayload):
    """Sums of the loads of some services' backend servers.

    Parameters
    ----------
    scope : LoadScope
        Backend servers of one router, of a data centre's routers, or all.
    services_digest : int
        Hash of the sorted names of all services, which the numbers count.
    services : tuple of int
        Numbers of the services.
    load_sums, n_servers : tuple of int
        Sum of the loads and number of backend servers of each of these services.
    """

    scope: LoadScope
    services_digest: int
    services: tuple[int, ...]
    load_sums: tuple[int, ...]
    n_servers: tuple[int, ...]
