"""Membership that believes the host list; the baseline without probes."""

from collections.abc import Sequence

from damaskrill.base import BaseDecider
from damaskrill.kernel._registry import registry
from damaskrill.messages import HostListRead, Member, MembersChanged, Message

__all__ = ["ListedMembership"]


@registry.register("decider", "listed_membership")
class ListedMembership(BaseDecider):
    """Takes every router on the host list that is not leaving for alive.

    Parameters
    ----------
    own : Member
        This process.
    random_state : int
        Not used.
    """

    handles = (HostListRead,)

    def __init__(self, *, own: Member, random_state: int = 0) -> None:
        self._own = own

    def decide(self, message: Message, now_ms: int) -> Sequence[Message]:
        """Take a host list."""
        assert isinstance(message, HostListRead)
        others = {
            host.address: Member(address=host.address, data_centre=host.data_centre)
            for host in message.hosts
            if host.role == "router" and not host.leaving
        }
        others.pop(self._own.address, None)
        members = tuple(sorted([self._own, *others.values()]))
        n_members = len(members)
        return (
            MembersChanged(members=members, n_listed=n_members, n_reachable=n_members),
        )
