"""Admission of attempts by the owner of a backend server."""

from damaskrill.admission._bound import (
    BoundReason,
    LoadBound,
    multiple_of_mean,
    reachable_share,
)
from damaskrill.admission._circuit import CircuitBreaker
from damaskrill.admission._concurrency import ConcurrencyLimit
from damaskrill.admission._load import ServerLoad
from damaskrill.admission._owner import OwnerDecider
from damaskrill.admission._ramp import ColdReason, ColdStartRamp
from damaskrill.admission._reachability import Reachability, ReachabilityWindow

__all__ = [
    "BoundReason",
    "CircuitBreaker",
    "ColdReason",
    "ColdStartRamp",
    "ConcurrencyLimit",
    "LoadBound",
    "OwnerDecider",
    "Reachability",
    "ReachabilityWindow",
    "ServerLoad",
    "multiple_of_mean",
    "reachable_share",
]
