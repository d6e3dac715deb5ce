"""Selection of probe targets, and probes that are waiting for an answer."""

import random

import attrs

from damaskrill.membership._table import PeerTable
from damaskrill.messages import MemberState

__all__ = ["PendingProbe", "ProbeRotation"]


@attrs.define(kw_only=True)
class PendingProbe:
    """Probe without an answer yet.

    Parameters
    ----------
    sequence : int
        Sequence number.
    target : str
        Probed address.
    sent_at_ms : int
        Time of sending, in milliseconds.
    is_indirect : bool
        Whether other routers have been requested to probe the target.
    requester : str
        Address of the router that requested the probe; empty if it was this
        process.
    requester_sequence : int
        Sequence number of that router's probe.
    """

    sequence: int
    target: str
    sent_at_ms: int
    is_indirect: bool = False
    requester: str = ""
    requester_sequence: int = 0


class ProbeRotation:
    """Round-robin over shuffled addresses, which bounds the interval between probes.

    Parameters
    ----------
    table : PeerTable
        Routers to select from.
    random_state : random.Random
        Random generator for the shuffles and samples.
    """

    def __init__(self, *, table: PeerTable, random_state: random.Random) -> None:
        self._table = table
        self._random = random_state
        self._round: list[str] = []
        self._priority: list[str] = []

    def probe_first(self, address: str) -> None:
        """Schedule an address to be probed before all others."""
        if address not in self._priority:
            self._priority.append(address)

    def next_target(self) -> str:
        """Return the next address to probe; empty if there is none."""
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
        """Return random addresses of routers, of live ones if there are any."""
        candidates = [
            each.address
            for each in self._table
            if each.state is MemberState.ALIVE and each.address != exclude
        ]
        if not candidates:
            candidates = [
                each.address
                for each in self._table
                if each.is_in_fleet and each.address != exclude
            ]
        return self._random.sample(candidates, min(n_peers, len(candidates)))

    def _is_probed(self, address: str) -> bool:
        # Dead routers that are still listed are probed too: a partition may have ended.
        entry = self._table.get(address)
        return entry is not None and entry.is_in_fleet
