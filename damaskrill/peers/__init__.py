"""Transport between routers: CBOR frames over WebSocket connections."""

from damaskrill.configuration._peer_limits import PeerLimits
from damaskrill.peers._counters import ByteCounters
from damaskrill.peers._network import PeerHandler, PeerNetwork

__all__ = ["ByteCounters", "PeerHandler", "PeerLimits", "PeerNetwork"]
