"""One account for everything that a router spends on control."""

from damaskrill.control._budget import ControlBudget
from damaskrill.control._classes import ControlClass, control_class_of, wire_size

__all__ = ["ControlBudget", "ControlClass", "control_class_of", "wire_size"]
