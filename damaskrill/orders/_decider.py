"""Decider that sends orders to the engines that this router owns."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.membership import owner_of_server
from damaskrill.messages import (
    EventName,
    FleetView,
    FleetViewChanged,
    LoggedEvent,
    Member,
    Message,
    OrderEngine,
    Tick,
)
from damaskrill.orders._schedule import LOAD_SLOT_MS, desired_orders, orders_in_slot

__all__ = ["EngineOrders"]


@registry.register("decider", "orders")
class EngineOrders(BaseDecider):
    """Send orders to the owned engines in the time slots of the fleet.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Not used.

    Notes
    -----
    An order is sent again in each of its slots. This corrects engines that have
    restarted, or that have followed an older order because they ignore fencing
    numbers.
    """

    handles = (FleetViewChanged, Tick)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own
        self._view: FleetView | None = None
        self._orders: list[OrderEngine] | None = None
        self._slot = -1
        self._sent: set[str] = set()
        self._logged: dict[str, OrderEngine] = {}

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Handle one message."""
        match message:
            case FleetViewChanged(view=view):
                self._apply_view(view)
            case Tick():
                return self._handle_tick(now_ms)
        return ()

    def _apply_view(self, view: FleetView) -> None:
        previous = self._view
        self._view = view
        if previous is None or previous.text is not view.text:
            self._orders = None
        elif previous.servers_by_service is not view.servers_by_service:
            self._orders = None

    def _handle_tick(self, now_ms: int) -> Sequence[Message]:
        view = self._view
        if view is None or not view.trusted or view.text.version == 0:
            return ()
        if self._orders is None:
            self._orders = desired_orders(view)
            self._logged = {
                order.backend_server: self._logged[order.backend_server]
                for order in self._orders
                if order.backend_server in self._logged
            }
        slot = now_ms // LOAD_SLOT_MS
        if slot != self._slot:
            self._slot = slot
            self._sent.clear()
        results: list[Message] = []
        limit = view.text.limits.max_loading_servers
        for order in orders_in_slot(self._orders, limit, now_ms):
            results.extend(self._send(order, view))
        return results

    def _send(self, order: OrderEngine, view: FleetView) -> Sequence[Message]:
        name = order.backend_server
        server = view.text.backend_servers[name]
        is_owner = owner_of_server(server, view.members).address == self._own.address
        if name in self._sent or not is_owner:
            return ()
        self._sent.add(name)
        if self._logged.get(name) == order:
            return (order,)
        self._logged[name] = order
        event = LoggedEvent(
            name=EventName.ENGINE_ORDERED,
            backend_server=name,
            service=server.service,
            data_centre=server.data_centre,
            text_version=order.fencing_number,
            detail=f"model {order.model} {order.model_version} {order.adapter}".strip(),
        )
        return (order, event)
