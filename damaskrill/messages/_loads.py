"""Load sums that routers exchange."""

from enum import Enum

from attrs import frozen

from damaskrill.messages._base import PeerPayload

__all__ = ["LoadScope", "LoadSums"]


class LoadScope(Enum):
    """Scope of the sums of a message."""

    ROUTER = "router"
    DATA_CENTRE = "data_centre"
    FLEET = "fleet"


@frozen(kw_only=True)
class LoadSums(PeerPayload):
    """Sums of the loads of some services' backend servers.

    Parameters
    ----------
    scope : LoadScope
        Backend servers of one router, of all routers of a data centre, or of all.
    services_digest : int
        Hash of the sorted names of all services, to which ``services`` refers.
    services : tuple of int
        Indexes into the sorted names of all services.
    load_sums, n_servers : tuple of int
        Load sum and number of backend servers of each of these services.
    """

    scope: LoadScope
    services_digest: int
    services: tuple[int, ...]
    load_sums: tuple[int, ...]
    n_servers: tuple[int, ...]
