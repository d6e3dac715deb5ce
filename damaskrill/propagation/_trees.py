"""Multicast trees that push a new text version to the fleet."""

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
        Text version; each version has its own trees.
    own : Member
        This process.
    members : sequence of Member
        All members, this process included.
    is_source : bool
        Whether the version was read from the service, not sent by a peer.

    Returns
    -------
    list of str
        Addresses; no more than ``N_TREES * (N_CHILDREN + 1)``.

    Notes
    -----
    A router that is down or paused interrupts its branch of one tree. Most of the
    branch is reached through the other tree, and the rest pulls the version once
    probes report it.
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
