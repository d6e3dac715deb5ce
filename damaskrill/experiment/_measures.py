"""Metrics of an experiment."""

from collections.abc import Sequence

from attrs import define, field

from damaskrill.experiment._engine import EngineRun

__all__ = ["Measures"]

# The users' limit: an engine has at most twice the mean load of its service, plus 3.
LIMIT_MULTIPLE = 2.0
LIMIT_ADDEND = 3.0
# Below one request per engine the multiple of the mean is not meaningful.
MIN_MEAN = 1.0


@define(kw_only=True)
class Measures:
    """Metrics summed over one or more simulations.

    Attributes
    ----------
    n_requests, n_late, n_above : int
        Requests; those whose first event came after the target; those sent to an
        engine whose load was above twice the mean plus 3.
    n_shared, n_reusable, n_read, n_copied : int
        Tokens of shared parts: requested, cached by some live engine, prefilled by
        the serving engines, copied between engines.
    busiest : float
        Highest load of a selected engine as a multiple of the mean load, over the
        requests at which the mean was at least 1.
    """

    n_requests: int = 0
    n_late: int = 0
    n_above: int = 0
    n_shared: int = 0
    n_reusable: int = 0
    n_read: int = 0
    n_copied: int = 0
    busiest: float = 0.0
    _first_event_times_ms: list[float] = field(factory=list)

    @property
    def reuse(self) -> float:
        """Fraction of the reusable tokens that were not prefilled again."""
        n_unavailable = self.n_shared - self.n_reusable
        n_recomputed = max(0, self.n_read - n_unavailable)
        return 1.0 - n_recomputed / self.n_reusable if self.n_reusable else 1.0

    def record_request(
        self,
        run: EngineRun,
        *,
        sent_at_ms: float,
        target_ms: float,
        n_shared: int,
        n_reusable: int,
        loads: Sequence[int],
        load: int,
    ) -> None:
        """Record a served request.

        Parameters
        ----------
        run : EngineRun
            Its times and prefill work.
        sent_at_ms, target_ms : float
            Time at which it was sent, and the latency target of its first event, in
            milliseconds.
        n_shared, n_reusable : int
            Tokens of its shared parts, and of those that some live engine had cached.
        loads : sequence of int
            Requests at each engine, including this one.
        load : int
            Requests at the selected engine.
        """
        first_ms = run.first_at_ms - sent_at_ms
        mean = sum(loads) / len(loads)
        self.n_requests += 1
        self.n_late += first_ms > target_ms
        self.n_above += load > LIMIT_MULTIPLE * mean + LIMIT_ADDEND
        self.n_shared += n_shared
        self.n_reusable += n_reusable
        self.n_read += run.n_read
        self.n_copied += run.n_copied
        if mean >= MIN_MEAN:
            self.busiest = max(self.busiest, load / mean)
        self._first_event_times_ms.append(first_ms)

    def first_event_quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latency of the first event, in milliseconds."""
        ordered = sorted(self._first_event_times_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def add(self, other: "Measures") -> None:
        """Add the metrics of another simulation."""
        for name in (
            "n_requests",
            "n_late",
            "n_above",
            "n_shared",
            "n_reusable",
            "n_read",
            "n_copied",
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.busiest = max(self.busiest, other.busiest)
        self._first_event_times_ms += other._first_event_times_ms

    def to_map(self) -> dict[str, float]:
        """Return the metrics by name, for a table or JSON."""
        return {
            "n_requests": self.n_requests,
            "first_event_p50_ms": round(self.first_event_quantile_ms(0.5), 1),
            "first_event_p99_ms": round(self.first_event_quantile_ms(0.99), 1),
            "late_part": round(self.n_late / self.n_requests, 4),
            "reuse": round(self.reuse, 4),
            "n_read_tokens": self.n_read,
            "n_copied_tokens": self.n_copied,
            "above_limit_part": round(self.n_above / self.n_requests, 4),
            "busiest_multiple": round(self.busiest, 2),
        }
