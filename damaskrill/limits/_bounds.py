"""Bounds of one router, derived from the memory and descriptors of its host."""

from attrs import frozen

__all__ = ["LEAST_BOUNDS", "HostBounds"]

BYTES_PER_MB = 1_000_000
# Resident memory of a router without callers: 44 MB after the first request, and room
# for a large configuration and many servers.
ROUTER_MB = 64
# Fractions of the rest that callers' bytes and connections may take. What is left are
# copies in sending, unread bytes in sockets and fragments of the allocator.
BYTES_FRACTION = 0.4
CONNECTIONS_FRACTION = 0.3
# One request of 4 MB, the sites' largest limit, is held twice while it is sent.
MIN_CAPACITY_BYTES = 8_000_000
# A connection with its parser, timer and socket, and a part of a head.
CONNECTION_BYTES = 16_384
MIN_CONNECTIONS = 32
# The platform reserves these of a process for files.
FILE_DESCRIPTORS = 200
# Fraction of the sockets that is left to servers, peers, the store and readiness.
OTHER_SOCKETS_FRACTION = 0.25


@frozen(kw_only=True)
class HostBounds:
    """Memory and descriptors that the host allows one router.

    Parameters
    ----------
    memory_mb : float
        Memory at which the process is killed.
    max_descriptors : float
        Open descriptors, those for files included.
    """

    memory_mb: float
    max_descriptors: float

    @property
    def capacity_bytes(self) -> int:
        """Bytes that the requests and answers of all callers may take together."""
        return max(MIN_CAPACITY_BYTES, int(self._free_bytes * BYTES_FRACTION))

    @property
    def max_connections(self) -> int:
        """Connections of callers, each counted twice while it has a request."""
        sockets = (self.max_descriptors - FILE_DESCRIPTORS) * (
            1 - OTHER_SOCKETS_FRACTION
        )
        in_memory = self._free_bytes * CONNECTIONS_FRACTION / CONNECTION_BYTES
        return max(MIN_CONNECTIONS, int(min(sockets, in_memory)))

    @property
    def _free_bytes(self) -> float:
        return max(0.0, self.memory_mb - ROUTER_MB) * BYTES_PER_MB


# Bounds of the interfaces for readiness and metrics, which a few programs of the
# operators use.
LEAST_BOUNDS = HostBounds(memory_mb=0, max_descriptors=0)
