"""Operators' pages of one router: readiness, status and metrics."""

from collections.abc import Callable

from damaskrill.control import ControlBudget
from damaskrill.messages import FleetView, LoggedEvent
from damaskrill.monitoring import RouterMetrics, StatusPage
from damaskrill.peers import PeerNetwork
from damaskrill.utils import Clock

__all__ = ["RouterPages"]


class RouterPages:
    """Readiness, status and metrics of one router.

    Parameters
    ----------
    network : PeerNetwork
        Connections to other routers, whose traffic counters are exported.
    control_budget : ControlBudget
        Budget of the control traffic.
    data_centre : str
        Data centre of the router.
    clock : Clock
        Source of the current time.
    collect_statistics : callable
        Returns the current statistics of the process by name.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        control_budget: ControlBudget,
        data_centre: str,
        clock: Clock,
        collect_statistics: Callable[[], dict[str, int]],
    ) -> None:
        self._network = network
        self._control_budget = control_budget
        self._collect_statistics = collect_statistics
        self._metrics = RouterMetrics()
        self._status = StatusPage(
            router=network.own.address, data_centre=data_centre, clock=clock
        )
        self._view: FleetView | None = None
        self._is_stopping = False

    def apply_view(self, view: FleetView) -> None:
        """Replace the fleet view."""
        self._view = view
        self._status.apply_view(view)

    def observe_event(self, event: LoggedEvent, at_ms: int) -> None:
        """Update metrics and status with an event of the kernel."""
        self._metrics.observe_event(event)
        self._status.observe_event(event, at_ms)

    def start_draining(self) -> None:
        """Report the router as not ready from now on."""
        self._is_stopping = True

    def readiness(self) -> tuple[bool, str]:
        """Return whether the router accepts new work, and the reason."""
        if self._is_stopping:
            return False, "this router is stopping"
        view = self._view
        if view is None or view.text.version == 0:
            return False, "this router has not read an operators' text yet"
        if not view.trusted:
            return False, "this router is resynchronizing its view of the fleet"
        return True, f"operators' text version {view.text.version} is active"

    def status_text(self) -> str:
        """Return the status page."""
        return self._status.render(
            readiness=self.readiness()[1], numbers=self._collect_statistics()
        )

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        counters = self._network.counters
        self._metrics.set_peer_bytes(counters.sent, counters.received)
        self._metrics.set_control(self._control_budget)
        self._metrics.set_state(self._collect_statistics())
        return self._metrics.render()
