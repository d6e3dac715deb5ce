"""State that an owner holds about one backend server."""

from attrs import define, field, frozen

from damaskrill.admission._bound import LoadBound, multiple_of_mean
from damaskrill.admission._circuit import CircuitBreaker
from damaskrill.admission._concurrency import ConcurrencyLimit
from damaskrill.admission._load import ServerLoad
from damaskrill.admission._means import LoadSum
from damaskrill.admission._ramp import ColdReason, ColdStartRamp
from damaskrill.configuration import BackendServerSpec, LimitSpec, ServiceSpec, TeamSpec
from damaskrill.fairness import FairQueue, QueuedAttempt, TeamShares
from damaskrill.messages import LoadReported, Member, OfferAttempt
from damaskrill.placement._cache_index import CacheIndex

__all__ = ["OwnedServer", "RunningAttempt"]

# Longest wait for a report that includes requests left running by a former owner.
TAKEOVER_WAIT_MS = 2_500
INITIAL_SERVICE_MS = 1_000
SERVICE_TIME_WEIGHT = 0.1
REPORT_DELAY_MS = 500
# Age of the last response up to which requests that were just sent count as received.
RESPONSE_VALID_MS = 700
# Missed reports after which the load of the server no longer counts for the mean.
MAX_MISSED_REPORTS = 3


@frozen(kw_only=True)
class RunningAttempt:
    """An attempt that was sent to the backend server."""

    offer: OfferAttempt
    entry: Member
    team: TeamSpec
    wait_ms: int
    started_at_ms: int


@define(kw_only=True, slots=False)
class OwnedServer:
    """State of one backend server at its owner.

    Parameters
    ----------
    spec : BackendServerSpec
        Section of the server in the text.
    service : ServiceSpec
        Section of its service.
    max_queue_length : int
        Maximum number of attempts that wait for the server.
    acquired_at_ms : int
        When this router became the owner, in milliseconds.
    awaits_report : bool
        Whether a former owner may have left requests running there, which only a
        report shows.
    """

    spec: BackendServerSpec
    service: ServiceSpec
    max_queue_length: int
    acquired_at_ms: int = 0
    awaits_report: bool = False
    running: dict[str, RunningAttempt] = field(factory=dict, init=False)
    mean_service_ms: float = field(default=INITIAL_SERVICE_MS, init=False)
    next_read_ms: int = field(default=0, init=False)
    read_interval_ms: int = field(default=500, init=False)
    _last_response_ms: int = field(default=-RESPONSE_VALID_MS, init=False)
    _responding: set[str] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.load = ServerLoad()
        self.ramp = ColdStartRamp(
            capacity=self.spec.bearable_load, cold_load=self.spec.cold_load
        )
        self.limit = ConcurrencyLimit(
            cap=self.spec.bearable_load,
            first_token_objective_ms=self.service.first_token_objective_ms,
            between_tokens_objective_ms=self.service.between_tokens_objective_ms,
        )
        self.circuit = CircuitBreaker()
        self.queue = FairQueue(max_length=self.max_queue_length)
        self.shares = TeamShares()
        self.cache = CacheIndex()
        self._n_finished_since_idle = 0

    def update(self, spec: BackendServerSpec, limits: LimitSpec) -> None:
        """Apply the section of the server and the limits of a new text."""
        self.spec = spec
        self.ramp.capacity = spec.bearable_load
        self.ramp.cold_load = spec.cold_load
        self.ramp.requests_per_step = limits.ramp_step_requests
        self.limit.cap = spec.bearable_load
        self.queue.max_length = limits.max_queue_length

    def waits_for_report(self, now_ms: int) -> bool:
        """Return whether nothing may be sent until a load report arrives."""
        if not self.awaits_report:
            return False
        report = self.load.report
        has_report = report is not None and report.measured_at_ms >= self.acquired_at_ms
        if has_report or now_ms - self.acquired_at_ms >= TAKEOVER_WAIT_MS:
            self.awaits_report = False
        return self.awaits_report

    def bound(
        self, sum_of_service: LoadSum, limits: LimitSpec, now_ms: int
    ) -> LoadBound:
        """Return the bound on the load at an admission."""
        return LoadBound(
            capacity=self.spec.bearable_load,
            mean_bound=multiple_of_mean(
                load_sum=sum_of_service.load_sum,
                n_servers=sum_of_service.n_servers,
                multiple_percent=limits.load_multiple_percent,
                floor=limits.load_floor,
            ),
            ramp_bound=self._ramp_bound(now_ms),
            concurrency_bound=self.limit.limit,
        )

    def load_for_mean(self, now_ms: int) -> int:
        """Return the load that counts towards the mean of the service.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        int
            The load without requests that may never reach the server, because these
            must not raise the bound of other servers.
        """
        silent_ms = now_ms - self._last_response_ms
        if silent_ms <= RESPONSE_VALID_MS:
            return self.load.load_at(now_ms)
        if silent_ms > MAX_MISSED_REPORTS * self.read_interval_ms:
            return 0
        n_others = self.load.load_at(now_ms) - self.load.n_own
        return n_others + len(self._responding)

    def record_first_token(self, attempt_id: str, now_ms: int) -> None:
        """Record that the server responds to an attempt."""
        self._last_response_ms = now_ms
        self._responding.add(attempt_id)

    def handle_pause(self) -> None:
        """Count running attempts as ended until the server responds again."""
        self.mark_unreachable()
        self._responding.clear()

    def mark_unreachable(self) -> None:
        """Record that the server is unreachable; discard its last response time."""
        self._last_response_ms = -RESPONSE_VALID_MS

    def begin(self, waiting: QueuedAttempt, now_ms: int) -> RunningAttempt:
        """Count an attempt that is being sent."""
        if self.load.n_own == 0:
            self._n_finished_since_idle = 0
        running = RunningAttempt(
            offer=waiting.offer,
            entry=waiting.entry,
            team=waiting.team,
            wait_ms=now_ms - waiting.queued_at_ms,
            started_at_ms=now_ms,
        )
        self.running[waiting.attempt_id] = running
        self.load.begin(now_ms)
        self.shares.begin(waiting.team, now_ms)
        self.circuit.record_start(waiting.attempt_id)
        self.cache.record_sent(waiting.offer.request.prefix_blocks)
        return running

    def end(self, attempt_id: str, now_ms: int) -> RunningAttempt:
        """Count an attempt that has ended for any reason."""
        running = self.running.pop(attempt_id)
        self._responding.discard(attempt_id)
        self.load.end(now_ms)
        self.shares.end(running.team.name, now_ms)
        return running

    def record_finished(self, running: RunningAttempt, now_ms: int) -> None:
        """Record a finished attempt for the ramp and the mean service time."""
        self._last_response_ms = now_ms
        self.ramp.record_finished(running.started_at_ms)
        self._n_finished_since_idle += 1
        duration_ms = now_ms - running.started_at_ms
        self.mean_service_ms += SERVICE_TIME_WEIGHT * (
            duration_ms - self.mean_service_ms
        )

    def handle_report(self, report: LoadReported, now_ms: int) -> ColdReason | None:
        """Handle a load report; return the reason if it shows a cold start."""
        self._last_response_ms = now_ms
        self.load.handle_report(report)
        min_own_load = self.load.min_own_between(
            report.measured_at_ms - REPORT_DELAY_MS, report.measured_at_ms
        )
        reason = self.ramp.handle_report(
            report, min_own_load=min_own_load, now_ms=now_ms
        )
        if reason is not None:
            self.handle_cold_start()
        return reason

    def handle_cold_start(self) -> None:
        """Discard the state that belonged to the former server process."""
        self._n_finished_since_idle = 0
        self.cache.clear()

    def expected_wait_ms(self, team: TeamSpec, bound: int) -> int:
        """Estimate the queue wait of a new request of a team, in milliseconds."""
        n_ahead = self.queue.n_ahead(team) + 1
        return int(n_ahead * self.mean_service_ms / max(1, bound))

    def _ramp_bound(self, now_ms: int) -> int:
        # While no request of this router runs on the server, no connection shows a
        # restart. Requests that finished before count again once a report measured
        # since then confirms them.
        report = self.load.report
        is_busy = self.load.n_own > 0
        if is_busy and report is not None:
            if report.measured_at_ms >= self.load.last_idle_ms:
                return self.ramp.bound_at(now_ms)
        return self.ramp.bound_for(
            self._n_finished_since_idle if is_busy else 0, now_ms
        )
