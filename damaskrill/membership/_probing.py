"""Which router is probed next, and which probes wait for an answer."""

import random

import attrs

from damaskrill.membership._table import PeerTable
from damaskrill.messages import MemberState

__all__ = ["OpenProbe", "ProbeRotation"]


@attrs.define(kw_only=True)
class OpenProbe:
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
    asked_by : str
        Address of the router that asked for the probe; empty if it is an own one.
    asked_sequence : int
        That router's number.
    """

    sequence: int
    target: str
    sent_at_ms: int
    is_indirect: bool = False
    asked_by: str = ""
    asked_sequence: int = 0


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
        self._urgent: list[str] = []

    def hurry(self, address: str) -> None:
        """Probe an address before all others."""
        if address not in self._urgent:
            self._urgent.append(address)

    def take_next(self) -> str:
        """Return the address to probe now; empty if there is none."""
        while self._urgent:
            address = self._urgent.pop(0)
            if self._may_answer(address):
                return address
        for _ in range(2):
            while self._round:
                address = self._round.pop()
                if self._may_answer(address):
                    return address
            self._round = [each.address for each in self._table]
            self._random.shuffle(self._round)
        return ""

    def choose_others(self, n_others: int, *, without: str = "") -> list[str]:
        """Return some addresses of routers that are thought to be alive."""
        alive = [
            each.address
            for each in self._table
            if each.state is MemberState.ALIVE and each.address != without
        ]
        if not alive:
            alive = [
                each.address
                for each in self._table
                if each.is_counted and each.address != without
            ]
        return self._random.sample(alive, min(n_others, len(alive)))

    def _may_answer(self, address: str) -> bool:
        # A dead router that is still listed is probed too: a partition may have ended.
        entry = self._table.get(address)
        return entry is not None and entry.is_counted
