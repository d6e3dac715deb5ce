"""Admission of attempts by the owner of a backend server."""

from damaskrill.admission._owner import OwnerDecider

__all__ = ["OwnerDecider"]
