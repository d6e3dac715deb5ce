"""Simulation of a fleet in virtual time: real routing decisions, emulated engines."""

from damaskrill.experiment._engine import EmulatedEngine, EngineRun
from damaskrill.experiment._errors import UnreadableExperimentError
from damaskrill.experiment._fleet import EmulatedFleet, EmulatedRouter, Policy
from damaskrill.experiment._measures import Measures
from damaskrill.experiment._plan import (
    EngineChange,
    EnginePlan,
    ExperimentPlan,
    RequestPlan,
    read_plan,
)
from damaskrill.experiment._simulation import simulate

__all__ = [
    "EmulatedEngine",
    "EmulatedFleet",
    "EmulatedRouter",
    "EngineChange",
    "EnginePlan",
    "EngineRun",
    "ExperimentPlan",
    "Measures",
    "Policy",
    "RequestPlan",
    "UnreadableExperimentError",
    "read_plan",
    "simulate",
]
