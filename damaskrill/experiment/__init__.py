"""Emulated engines in virtual time, against the product's own decisions."""

from damaskrill.experiment._engine import EmulatedEngine, Run
from damaskrill.experiment._errors import UnreadableExperimentError
from damaskrill.experiment._fleet import EmulatedFleet, EmulatedRouter, Policy
from damaskrill.experiment._measures import Measures
from damaskrill.experiment._plan import (
    Change,
    EnginePlan,
    ExperimentPlan,
    RequestPlan,
    read_plan,
)
from damaskrill.experiment._play import play

__all__ = [
    "Change",
    "EmulatedEngine",
    "EmulatedFleet",
    "EmulatedRouter",
    "EnginePlan",
    "ExperimentPlan",
    "Measures",
    "Policy",
    "RequestPlan",
    "Run",
    "UnreadableExperimentError",
    "play",
    "read_plan",
]
