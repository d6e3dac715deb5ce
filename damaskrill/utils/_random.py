"""Random number generators that are seeded by the caller."""

import random

__all__ = ["check_random_state"]


def check_random_state(random_state: int | random.Random) -> random.Random:
    """Convert a seed or a generator to a generator.

    Parameters
    ----------
    random_state : int or random.Random
        Seed, or a generator that is shared with the caller.

    Returns
    -------
    random.Random
        New generator for a seed, or the given generator itself.
    """
    if isinstance(random_state, random.Random):
        return random_state
    return random.Random(random_state)
