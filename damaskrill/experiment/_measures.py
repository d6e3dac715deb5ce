"""What an experiment measures."""

from collections.abc import Sequence

from attrs import define, field

from damaskrill.experiment._engine import EngineRun

__all__ = ["Measures"]

# The users' rule: an engine holds at most twice the mean of its service, plus 3.
LIMIT_MULTIPLE = 2.0
LIMIT_ADDEND = 3.0
# With less than one request an engine the multiple of the mean says nothing.
MIN_MEAN = 1.0


@define(kw_only=True)
class Measures:
    """Sums over one or more plays.

    Attributes
    ----------
    n_requests, n_late, n_above : int
        Requests; those whose first event came after the target; those that reached an
        engine above twice the mean load plus 3.
    n_shared, n_reusable, n_read, n_copied : int
        Tokens of shared parts: all that were asked for, those that some live engine
        had, those that engines read themselves, those that they copied.
    busiest : float
        Largest load of an engine that a request met, as a multiple of the mean, once
        there is a request for each engine.
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
        """Part of what some live engine had that was not read again."""
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
        """Count a request.

        Parameters
        ----------
        run : Run
            What became of it.
        sent_at_ms, target_ms : float
            When it was sent, and when its first event is due after that, in
            milliseconds.
        n_shared, n_reusable : int
            Tokens of its shared parts, and of those that some live engine had.
        loads : sequence of int
            Requests at all engines, itself included.
        load : int
            Requests at its engine.
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
        """Return the time within which a part of the first events came."""
        ordered = sorted(self._first_event_times_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def add(self, other: "Measures") -> None:
        """Add another play."""
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
        """Return the figures for a table or JSON."""
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
