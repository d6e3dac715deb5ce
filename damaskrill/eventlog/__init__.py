"""Decision log: JSON lines on standard output, written without blocking."""

from damaskrill.eventlog._log import DecisionLog, configure_decision_log
from damaskrill.eventlog._sink import LineSink

__all__ = ["DecisionLog", "LineSink", "configure_decision_log"]
