"""Position in the history of the store."""

from attrs import frozen

__all__ = ["START", "Position"]


@frozen(order=True)
class Position:
    """Position in the history of the store, ordered by era and then by revision.

    Parameters
    ----------
    era : int, default=0
        Number of times that the store has been restored from a copy. Revisions of a
        new era continue from those of the copy, so they occur in both eras.
    revision : int, default=0
        Revision within the era; 0 before the first list.
    """

    era: int = 0
    revision: int = 0


# Position before the first list.
START = Position()
