"""Clocks, hashing and random number utilities shared by all subpackages."""

from damaskrill.utils._clock import Clock, FakeClock, SystemClock, monotonic_now_ms
from damaskrill.utils._hashing import (
    hash_fields,
    hash_to_int,
    rank_by_rendezvous,
    rendezvous_score,
)
from damaskrill.utils._latest_order import LatestOrder
from damaskrill.utils._prefix import count_prompt_tokens, hash_prefix_blocks
from damaskrill.utils._random import check_random_state

__all__ = [
    "Clock",
    "FakeClock",
    "LatestOrder",
    "SystemClock",
    "check_random_state",
    "count_prompt_tokens",
    "hash_fields",
    "hash_prefix_blocks",
    "hash_to_int",
    "monotonic_now_ms",
    "rank_by_rendezvous",
    "rendezvous_score",
]
