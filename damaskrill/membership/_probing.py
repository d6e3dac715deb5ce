"""Which router is probed next, and which probes wait for an answer."""

import random

import attrs

from damaskrill.membership._table import PeerTable
from damaskrill.messages import MemberState

__all__ = ["PendingProbe", "ProbeRotation"]


@attrs.define(kw_only=True)
class PendingProbe:
    """A probe without an answer yet.

    Parameters
    ----------
    sequence : int
        Its number.
    target : str
        Address that is probed.
    sent_at_ms : int
        When, in milliseconds.
    is_indirect : bool
        Whether other routers have been asked to probe the target.
    requester : str
        Address of the router that asked for the probe; empty if it is an own one.
    requester_sequence : int
        That router's number.
    """

    sequence: int
    target: str
    sent_at_ms: int
    is_indirect: bool = False
    requester: str = ""
    requester_sequence: int = 0


class ProbeRotation:
    """Round-robin over shuffled addresses, so that nobody waits for long.

    Parameters
    ----------
    table : PeerTable
        Routers to choose from.
    random_state : random.Random
        Generator of the shuffles.
    """

    def __init__(self, *, table: PeerTable, random_state: random.Random) -> None:
        self._table = table
        self._random = random_state
        self._round: list[str] = []
        self._priority: list[str] = []

    def probe_first(self, address: str) -> None:
        """Probe an address before all others."""
        if address not in self._priority:
            self._priority.append(address)

    def next_target(self) -> str:
        """Return the address to probe now; empty if there is none."""
        while self._priority:
            address = self._priority.pop(0)
            if self._is_probed(address):
                return address
        for _ in range(2):
            while self._round:
                address = self._round.pop()
                if self._is_probed(address):
                    return address
            self._round = [each.address for each in self._table]
            self._random.shuffle(self._round)
        return ""

    def sample_peers(self, n_peers: int, *, exclude: str = "") -> list[str]:
        """Return some addresses of routers that are thought to be alive."""
        alive = [
            each.address
            for each in self._table
            if each.state is MemberState.ALIVE and each.address != exclude
        ]
        if not alive:
            alive = [
                each.address
                for each in self._table
                if each.is_in_fleet and each.address != exclude
            ]
        return self._random.sample(alive, min(n_peers, len(alive)))

    def _is_probed(self, address: str) -> bool:
        # A dead router that is still listed is probed too: a partition may have ended.
        entry = self._table.get(address)
        return entry is not None and entry.is_in_fleet
