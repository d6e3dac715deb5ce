"""What backend servers publish, and orders to them."""

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
    """A backend server's load report; it lags.

    Parameters
    ----------
    backend_server : str
        Name of the backend server.
    start_id : str
        Changes whenever its process starts anew.
    load : int
        Requests that it was bearing when the report was made.
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
    """A backend server's changes of its prefix cache; late and with gaps.

    Parameters
    ----------
    backend_server : str
        Name of the backend server.
    sequence : int
        Number of the first event; a jump shows a gap.
    stored, removed : tuple of int
        Hashes of prefix blocks.
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
        Sum of the loads, each the larger of reported and own count.
    n_servers : int
        How many backend servers the sum is over.
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
        Sum of the loads, each the larger of reported and own count.
    n_servers : int
        How many backend servers the sum is over.
    """

    service: str
    load_sum: int
    n_servers: int


@frozen(kw_only=True)
class MeanLoadKnown(InternalMessage):
    """Mean load over all backend servers of a service, as far as it is known.

    Parameters
    ----------
    service : str
        The service.
    load_sum : int
        Sum of the loads.
    n_servers : int
        How many backend servers the sum is over.
    """

    service: str
    load_sum: int
    n_servers: int


@frozen(kw_only=True)
class OrderEngine(Message):
    """Effect: tell an engine what to load or which role to take.

    Parameters
    ----------
    backend_server, address : str
        The engine.
    model, adapter, model_version, role : str
        What it must be; empty fields are left as they are.
    fencing_number : int
        Version of the text that the order follows from.
    """

    backend_server: str
    address: str
    model: str
    adapter: str
    model_version: str
    role: str
    fencing_number: int
