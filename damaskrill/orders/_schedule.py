"""Which order each engine gets, and in which time slot."""

from collections.abc import Sequence

from damaskrill.configuration import BackendServerSpec, FleetText, ServiceKind
from damaskrill.messages import FleetView, OrderEngine
from damaskrill.utils import hash_to_int

__all__ = ["LOAD_SLOT_MS", "desired_orders", "orders_in_slot"]

# Time in which an engine is taken to have loaded a model from the weight store.
LOAD_SLOT_MS = 30_000
SERVING_ROLE = "serve"


def desired_orders(view: FleetView) -> list[OrderEngine]:
    """Return the order of every engine that is to have a model.

    Parameters
    ----------
    view : FleetView
        Text, and the backend servers that neither text nor host list takes out.

    Returns
    -------
    list of OrderEngine
        In an order that is the same in every process.

    Notes
    -----
    The result depends on the text and the host list alone, so that two routers that
    both send an order send the same one. Its fencing number is the text's version.
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
    """Return the orders that may be sent in the present time slot.

    Parameters
    ----------
    orders : sequence of OrderEngine
        All orders, as ``desired_orders`` returns them.
    max_loading_servers : int
        How many engines may load at once in the whole fleet.
    now_ms : int
        Present time in milliseconds.
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
