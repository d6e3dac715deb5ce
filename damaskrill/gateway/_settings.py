"""Settings of one gateway process."""

from collections.abc import Mapping

from attrs import field, frozen

__all__ = ["GatewaySettings"]

Address = tuple[str, int]


@frozen(kw_only=True)
class GatewaySettings:
    """Addresses and limits of one gateway process.

    Parameters
    ----------
    name : str
        Name of the router in logs.
    data_centre : str
        Data centre that the router runs in.
    caller_address, readiness_address, peer_address : tuple of (str, int)
        Addresses for callers, the balancer's readiness checks and other routers.
    seed_addresses : tuple
        Routers to dial first to discover the others.
    store_address : tuple of (str, int)
        Address of the platform's store.
    metrics_address : tuple of (str, int)
        Address at which metrics are served.
    region_of : mapping of str to str
        Region of each data centre.
    grace_ms : float
        Time from SIGTERM until the process is killed, in milliseconds.
    repeat_ratio, repeat_slack, repeat_window_ms : float
        Retry budget of the whole fleet: fraction of the requests, fixed number, and
        length of the window in milliseconds.
    leaving_limit_ms : float
        Time after which a server that the store lists as leaving must get no new
        requests, in milliseconds.
    cold_factor, cold_slack : float
        A cold server gets at most its rate times the factor plus the slack per second.
    schedules_slots : bool
        Whether this router asks for and assigns the slots of services with few of them.
        If more than a tenth of the routers do not, each places requests on its own.
    store_history_ms : float
        Time for which the store keeps its changes, in milliseconds.
    has_predecessor : bool
        Whether another process of this router may have ended just before this one
        started. Limits of the whole fleet are kept across the restart then.
    memory_mb : float
        Memory at which the host ends the process, in MB; that of the smallest host if
        not stated.
    max_descriptors : float
        Open descriptors that the host allows; those of the smallest host if not stated.
    """

    name: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    seed_addresses: tuple[Address, ...]
    store_address: Address
    metrics_address: Address
    region_of: Mapping[str, str] = field(factory=dict)
    grace_ms: float = 8_000
    repeat_ratio: float = 0.1
    repeat_slack: float = 10
    repeat_window_ms: float = 10_000
    leaving_limit_ms: float = 2_000
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    store_history_ms: float = 20_000
    schedules_slots: bool = True
    has_predecessor: bool = True
    memory_mb: float = 152
    max_descriptors: float = 2_870
