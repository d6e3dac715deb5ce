"""Soak test: seeded random faults against real router processes on loopback."""

from damaskrill.soak._plan import Fault, FaultKind, build_plan
from damaskrill.soak._run import SoakResult, run_soak

__all__ = ["Fault", "FaultKind", "SoakResult", "build_plan", "run_soak"]
