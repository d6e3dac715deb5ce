"""Fake of the platform's host list, which lags behind."""

from attrs import define, field

from damaskrill.messages import HostEntry, HostListRead

__all__ = ["FakeHostList"]


@define(kw_only=True)
class FakeHostList:
    """Host list that is served with a delay.

    Parameters
    ----------
    lag_ms : int
        Age of the served list, in milliseconds.
    """

    lag_ms: int = 2_000
    _history: list[tuple[int, tuple[HostEntry, ...]]] = field(factory=list, init=False)

    def set_hosts(self, hosts: tuple[HostEntry, ...], now_ms: int) -> None:
        """Set the hosts from ``now_ms`` on."""
        self._history.append((now_ms, hosts))

    def read(self, now_ms: int) -> HostListRead:
        """Return the list of ``lag_ms`` ago, or the first one if that is later."""
        hosts = self._history[0][1] if self._history else ()
        for at_ms, entry in self._history:
            if at_ms + self.lag_ms <= now_ms:
                hosts = entry
        return HostListRead(hosts=hosts)
