"""Budget and classes of the control traffic of a router."""

from damaskrill.control._budget import ControlBudget
from damaskrill.control._classes import ControlClass, control_class_of, wire_size

__all__ = ["ControlBudget", "ControlClass", "control_class_of", "wire_size"]
