"""Trees along which a new version is pushed through the fleet."""

from collections.abc import Sequence

from damaskrill.messages import Member
from damaskrill.utils import rank_by_rendezvous

__all__ = ["push_targets"]

N_TREES = 2
N_CHILDREN = 3


def push_targets(
    version: int, own: Member, members: Sequence[Member], *, is_source: bool
) -> list[str]:
    """Return the routers to which a router pushes a version.

    Parameters
    ----------
    version : int
        The version; each one has trees of its own.
    own : Member
        This process.
    members : sequence of Member
        All members, this process included.
    is_source : bool
        Whether the version comes from the service and not from a peer.

    Returns
    -------
    list of str
        Addresses; no more than ``N_TREES * (N_CHILDREN + 1)``.

    Notes
    -----
    A router that is down or paused cuts off its branch of one tree; most of the branch
    is reached by the other tree, and the rest when probes show the version.
    """
    addresses = [each.address for each in members]
    targets: dict[str, None] = {}
    for tree in range(N_TREES):
        order = rank_by_rendezvous(f"push:{version}:{tree}", addresses)
        if is_source:
            targets[order[0]] = None
        if own.address in order:
            first = order.index(own.address) * N_CHILDREN + 1
            targets.update(dict.fromkeys(order[first : first + N_CHILDREN]))
    targets.pop(own.address, None)
    return list(targets)
