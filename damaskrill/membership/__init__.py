"""Membership of the router fleet, and ownership of keys and backend servers."""

from damaskrill.membership._decider import ProbingMembership
from damaskrill.membership._ownership import owner_of_key, owner_of_server

__all__ = [
    "ProbingMembership",
    "owner_of_key",
    "owner_of_server",
]
