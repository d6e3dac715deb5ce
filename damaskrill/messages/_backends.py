"""Reports of backend servers, and orders to engines."""

from attrs import frozen

from damaskrill.messages._base import InternalMessage, Message, PeerPayload

__all__ = [
    "CacheEvents",
    "LoadReported",
    "LoadSummary",
    "MeanLoadKnown",
    "OrderEngine",
    "OwnedLoad",
    "ReadLoad",
]


@frozen(kw_only=True)
class ReadLoad(Message):
    """Effect: read a backend server's load report."""

    backend_server: str
    address: str


@frozen(kw_only=True)
class LoadReported(Message):
    """Load report of a backend server, which lags behind the actual load.

    Parameters
    ----------
    backend_server : str
        Name of the backend server.
    start_id : str
        ID of its process; it changes with each restart.
    load : int
        Requests in progress when the report was made.
    measured_at_ms : int
        When the report was made, in milliseconds on this process's clock.
    n_finished : int
        Requests that it has finished since its start.
    """

    backend_server: str
    start_id: str
    load: int
    measured_at_ms: int
    n_finished: int = 0


@frozen(kw_only=True)
class CacheEvents(Message):
    """Changes of a backend server's prefix cache; they arrive late and with gaps.

    Parameters
    ----------
    backend_server : str
        Name of the backend server.
    sequence : int
        Sequence number of the first event; a jump indicates a gap.
    stored, removed : tuple of int
        Hashes of the prefix blocks that were stored and removed.
    """

    backend_server: str
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@frozen(kw_only=True)
class LoadSummary(PeerPayload):
    """Sum of the loads of the backend servers of a service that a router owns.

    Parameters
    ----------
    service : str
        The service.
    load_sum : int
        Sum of the loads, each the larger of the reported load and the owner's count.
    n_servers : int
        Number of backend servers in the sum.
    """

    service: str
    load_sum: int
    n_servers: int


@frozen(kw_only=True)
class OwnedLoad(InternalMessage):
    """Sum of the loads of the backend servers of a service that this router owns.

    Parameters
    ----------
    service : str
        The service.
    load_sum : int
        Sum of the loads, each the larger of the reported load and the owner's count.
    n_servers : int
        Number of backend servers in the sum.
    """

    service: str
    load_sum: int
    n_servers: int


@frozen(kw_only=True)
class MeanLoadKnown(InternalMessage):
    """Mean load of a service's backend servers, as far as this router knows it.

    Parameters
    ----------
    service : str
        The service.
    load_sum : int
        Sum of the loads.
    n_servers : int
        Number of backend servers in the sum.
    """

    service: str
    load_sum: int
    n_servers: int


@frozen(kw_only=True)
class OrderEngine(Message):
    """Effect: order an engine to load a model or to change its role.

    Parameters
    ----------
    backend_server, address : str
        The engine.
    model, adapter, model_version, role : str
        Required state; empty fields stay unchanged.
    fencing_number : int
        Version of the text that caused the order.
    """

    backend_server: str
    address: str
    model: str
    adapter: str
    model_version: str
    role: str
    fencing_number: int
