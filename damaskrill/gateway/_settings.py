"""Settings of one gateway process."""

from collections.abc import Mapping

from attrs import field, frozen

__all__ = ["GatewaySettings"]

Address = tuple[str, int]


@frozen(kw_only=True)
class GatewaySettings:
    """Addresses and bounds of one process.

    Parameters
    ----------
    name : str
        Name of the router in logs.
    data_centre : str
        Where it runs.
    caller_address, readiness_address, peer_address : tuple of (str, int)
        Where callers, the balancer and other routers reach it.
    seed_addresses : tuple
        Routers to ask first for the others.
    store_address : tuple of (str, int)
        Where the platform's store listens.
    metrics_address : tuple of (str, int)
        Where metrics are served.
    region_of : mapping of str to str
        Region of each data centre.
    grace_ms : float
        Time from SIGTERM until the process is killed, in milliseconds.
    repeat_ratio, repeat_slack, repeat_window_ms : float
        Budget of the whole fleet for requests that are sent again: part of the
        requests, fixed number, and length of the window in milliseconds.
    cold_factor, cold_slack : float
        A cold server bears its rate times the factor plus the slack in a second.
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
    cold_factor: float = 1.0
    cold_slack: float = 0.0
