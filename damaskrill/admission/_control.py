"""Admission decisions from load bounds, mean loads, the view and team shares."""

from damaskrill.admission._bound import BoundReason, LoadBound
from damaskrill.admission._means import LoadSum, MeanLoads
from damaskrill.admission._reachability import Reachability, ReachabilityWindow
from damaskrill.admission._refusals import causes_of_bound
from damaskrill.admission._server import OwnedServer
from damaskrill.admission._servers import OwnedServers
from damaskrill.configuration import TeamSpec
from damaskrill.fairness import QueuedAttempt
from damaskrill.messages import Cause, CauseCode, FleetView, Member

__all__ = ["TRANSIENT_RETRY_AFTER_MS", "AdmissionControl"]

TRANSIENT_RETRY_AFTER_MS = 300


class AdmissionControl:
    """Decide whether a request may be sent to an owned server, and why not.

    Parameters
    ----------
    own : Member
        This process.

    Attributes
    ----------
    servers : OwnedServers
        Servers that this router owns.
    means : MeanLoads
        Mean loads of their services.
    """

    def __init__(self, *, own: Member) -> None:
        self._view: FleetView | None = None
        self._reachability = ReachabilityWindow()
        self.servers = OwnedServers(own=own)
        self.means = MeanLoads()

    @property
    def view(self) -> FleetView | None:
        """Active view, if there is one."""
        return self._view

    def apply_view(self, view: FleetView, now_ms: int) -> None:
        """Apply a view, except to ``servers``, which the caller updates."""
        self._view = view
        reachability = Reachability(
            n_reachable=view.n_reachable, n_listed=view.n_listed
        )
        self._reachability.update(reachability, now_ms)

    def bound(self, server: OwnedServer, now_ms: int) -> LoadBound:
        """Return the current bound on the load of a server."""
        assert self._view is not None
        sums = self._sum_of_service(server.spec.service, now_ms)
        return server.bound(sums, self._view.text.limits, now_ms)

    def _sum_of_service(self, service: str, now_ms: int) -> LoadSum:
        assert self._view is not None
        owned_sum = self.servers.load_sum_of(service, now_ms)
        n_in_service = len(self._view.servers_by_service.get(service, ()))
        return self.means.combine(service, owned_sum, n_in_service, now_ms)

    def can_admit(
        self, server: OwnedServer, team: TeamSpec, bound: LoadBound, now_ms: int
    ) -> bool:
        """Return whether a request of a team may be sent to a server now."""
        view = self._view
        assert view is not None
        if not view.trusted or server.waits_for_report(now_ms):
            return False
        if server.circuit.remaining_open_ms(now_ms) > 0:
            return False
        load = server.load.load_at(now_ms)
        reachability = self._reachability.minimum(now_ms)
        if not bound.admits(
            load=load,
            own_load=server.load.n_own,
            n_reachable=reachability.n_reachable,
            n_listed=reachability.n_listed,
        ):
            return False
        return server.shares.may_acquire(
            team,
            n_free=bound.value - load,
            capacity=bound.value,
            now_ms=now_ms,
            has_alternatives=bound.reason is BoundReason.MULTIPLE_OF_MEAN,
        )

    def causes_of_wait(
        self, server: OwnedServer, team: TeamSpec, bound: LoadBound, now_ms: int
    ) -> tuple[Cause, ...]:
        """Return why a request of a team cannot be sent to a server now."""
        assert self._view is not None
        name = server.spec.name
        if server.waits_for_report(now_ms):
            return (Cause(code=CauseCode.TAKEN_OVER, subject=name),)
        if server.circuit.remaining_open_ms(now_ms) > 0:
            return (
                Cause(code=CauseCode.CIRCUIT_OPEN, subject=name),
                Cause(code=CauseCode.BACKEND_SERVER_FAILED, subject=name),
            )
        load = server.load.load_at(now_ms)
        if load + 1 <= bound.value and server.shares.n_running(team.name) > 0:
            limit = Cause(code=CauseCode.AT_LIMIT, subject=name)
            return (limit, Cause(code=CauseCode.SURGE, subject=team.name))
        reachability = self._reachability.minimum(now_ms)
        return causes_of_bound(
            server, bound, self._view, load=load, reachability=reachability
        )

    def expected_wait_ms(
        self, server: OwnedServer, team: TeamSpec, bound: LoadBound, now_ms: int
    ) -> int:
        """Estimate how long a new request of a team would wait, in milliseconds."""
        open_ms = server.circuit.remaining_open_ms(now_ms)
        if server.waits_for_report(now_ms):
            return TRANSIENT_RETRY_AFTER_MS
        return open_ms + server.expected_wait_ms(team, bound.value)

    def pop_next(
        self, server: OwnedServer, bound: LoadBound, now_ms: int
    ) -> QueuedAttempt | None:
        """Remove and return the next queued attempt that may be sent to a server."""
        return server.queue.pop(
            n_running=server.shares.n_running,
            may_acquire=lambda team: self.can_admit(server, team, bound, now_ms),
        )
