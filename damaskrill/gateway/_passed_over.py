"""Log line for a plain server that a choice passed over."""

from damaskrill.eventlog import DecisionLog
from damaskrill.steering import ServerEstimate

__all__ = ["log_passed_over"]


def log_passed_over(log: DecisionLog, estimate: ServerEstimate) -> None:
    """Log why a server got no request."""
    log.write(
        "server_passed_over",
        backend_server=estimate.server.server_id,
        cause=estimate.cause,
        slowness=round(estimate.slowness, 2),
        n_ahead=round(estimate.n_ahead, 1),
        failure_share=round(estimate.failure_share, 2),
        age_ms=round(estimate.age_ms),
    )
