"""Fake plain service whose calls must not be repeated."""

from collections import Counter

from attrs import define, field

__all__ = ["FakePlainService"]


@define(kw_only=True)
class FakePlainService:
    """Service that counts how often it ran each action.

    Parameters
    ----------
    name : str
        Name of the backend server.
    checks_fencing : bool, default=False
        Whether calls with an older fencing number than the highest are refused.
    """

    name: str
    checks_fencing: bool = False
    runs: Counter[str] = field(factory=Counter, init=False)
    n_refused: int = field(default=0, init=False)
    _highest_fencing_number: int = field(default=0, init=False)

    def run(self, *, key: str, fencing_number: int = 0) -> bool:
        """Run an action and return whether it was run rather than refused."""
        if self.checks_fencing and fencing_number < self._highest_fencing_number:
            self.n_refused += 1
            return False
        self._highest_fencing_number = max(self._highest_fencing_number, fencing_number)
        self.runs[key] += 1
        return True

    @property
    def repeated_keys(self) -> list[str]:
        """Keys that were run more than once."""
        return sorted(key for key, n_runs in self.runs.items() if n_runs > 1)
