"""Order of each engine and the time slot in which it is sent."""

from collections.abc import Sequence

from damaskrill.configuration import BackendServerSpec, FleetText, ServiceKind
from damaskrill.messages import FleetView, OrderEngine
from damaskrill.utils import hash_to_int

__all__ = ["LOAD_SLOT_MS", "desired_orders", "orders_in_slot"]

# Time in which an engine is assumed to load a model from the weight store.
LOAD_SLOT_MS = 30_000
SERVING_ROLE = "serve"


def desired_orders(view: FleetView) -> list[OrderEngine]:
    """Return the order of every engine that should load a model.

    Parameters
    ----------
    view : FleetView
        Provides the text, and the backend servers that neither the text nor the host
        list takes out of service.

    Returns
    -------
    list of OrderEngine
        Sorted alike in every process.

    Notes
    -----
    The result depends only on the text and the host list, so that two routers that
    both order an engine send the same order. The fencing number is the version of the
    text.
    """
    orders = [
        _order_for(server, view.text)
        for name, servers in view.servers_by_service.items()
        if _has_orders(view.text, name)
        for server in servers
    ]
    return sorted(orders, key=_hash_of_server)


def orders_in_slot(
    orders: Sequence[OrderEngine], max_loading_servers: int, now_ms: int
) -> Sequence[OrderEngine]:
    """Return the orders that may be sent in the current time slot.

    Parameters
    ----------
    orders : sequence of OrderEngine
        All orders, as ``desired_orders`` returns them.
    max_loading_servers : int
        Maximum number of engines that load concurrently in the fleet.
    now_ms : int
        Current time in milliseconds.
    """
    if not orders or max_loading_servers <= 0:
        return ()
    n_slots = -(-len(orders) // max_loading_servers)
    first = now_ms // LOAD_SLOT_MS % n_slots * max_loading_servers
    return orders[first : first + max_loading_servers]


def _has_orders(text: FleetText, service_name: str) -> bool:
    service = text.services.get(service_name)
    if service is None or service.kind is not ServiceKind.ENGINE:
        return False
    return bool(service.model)


def _order_for(server: BackendServerSpec, text: FleetText) -> OrderEngine:
    service = text.services[server.service]
    return OrderEngine(
        backend_server=server.name,
        address=server.address,
        model=service.model,
        adapter=service.adapter,
        model_version=service.model_version,
        role=SERVING_ROLE,
        fencing_number=text.version,
    )


def _hash_of_server(order: OrderEngine) -> tuple[int, str]:
    return (hash_to_int(order.backend_server), order.backend_server)
