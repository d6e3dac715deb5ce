"""Stand-in for the platform's lagging list of hosts."""

from attrs import define, field

from damaskrill.messages import HostEntry, HostListRead

__all__ = ["FakeHostList"]


@define(kw_only=True)
class FakeHostList:
    """Serves the list as it was some time ago.

    Parameters
    ----------
    lag_ms : int
        Age of what is served, in milliseconds.
    """

    lag_ms: int = 2_000
    _history: list[tuple[int, tuple[HostEntry, ...]]] = field(factory=list, init=False)

    def set_hosts(self, hosts: tuple[HostEntry, ...], now_ms: int) -> None:
        """Record the hosts as they are from now on."""
        self._history.append((now_ms, hosts))

    def read(self, now_ms: int) -> HostListRead:
        """Return the list as it was ``lag_ms`` ago, the first one at the earliest."""
        hosts = self._history[0][1] if self._history else ()
        for at_ms, entry in self._history:
            if at_ms + self.lag_ms <= now_ms:
                hosts = entry
        return HostListRead(hosts=hosts)
