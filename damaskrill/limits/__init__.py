"""Bounds on what callers can make a router hold: memory, connections and time."""

from damaskrill.limits._account import Eviction, Hold, MemoryAccount
from damaskrill.limits._bounds import LEAST_BOUNDS, HostBounds
from damaskrill.limits._cause_lines import CauseLines
from damaskrill.limits._connections import ConnectionBound
from damaskrill.limits._guard import CallerGuard
from damaskrill.limits._rate import body_time_left_ms
from damaskrill.limits._turns import EVENTS_PER_TURN, ParsingTurns

__all__ = [
    "EVENTS_PER_TURN",
    "LEAST_BOUNDS",
    "CallerGuard",
    "CauseLines",
    "ConnectionBound",
    "Eviction",
    "Hold",
    "HostBounds",
    "MemoryAccount",
    "ParsingTurns",
    "body_time_left_ms",
]
