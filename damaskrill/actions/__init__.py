"""At-most-once execution of requests that may not be repeated (actions)."""

from damaskrill.actions._decider import ActionsDecider, record_key_of
from damaskrill.actions._key_time import read_key_time
from damaskrill.actions._permits import PermitIssuer, parse_permit
from damaskrill.actions._records import RecordStore

__all__ = [
    "ActionsDecider",
    "PermitIssuer",
    "RecordStore",
    "parse_permit",
    "read_key_time",
    "record_key_of",
]
