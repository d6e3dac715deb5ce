"""Random number generators that are always seeded by the caller."""

import random

__all__ = ["check_random_state"]


def check_random_state(random_state: int | random.Random) -> random.Random:
    """Return a generator for a seed, or the generator itself.

    Parameters
    ----------
    random_state : int or random.Random
        Seed, or a generator that is shared with the caller.

    Returns
    -------
    random.Random
        Generator whose sequence depends on the seed alone.
    """
    if isinstance(random_state, random.Random):
        return random_state
    return random.Random(random_state)
