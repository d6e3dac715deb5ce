"""Stand-in for the platform's configuration service."""

from attrs import define, field

from damaskrill.messages import TextRead

__all__ = ["FakeConfigurationService"]


@define(kw_only=True)
class FakeConfigurationService:
    """Holds one value with a version; can only be read and watched.

    Notes
    -----
    ``n_calls`` counts every read and every waiting watch as one call.
    """

    is_down: bool = False
    n_calls: int = field(default=0, init=False)
    _texts: list[tuple[int, bytes]] = field(factory=list, init=False)
    _stale_version: int = field(default=0, init=False)

    def publish(self, content: bytes) -> int:
        """Store a new text; return its version."""
        version = self._texts[-1][0] + 1 if self._texts else 1
        self._texts.append((version, content))
        return version

    def serve_stale(self, version: int) -> None:
        """Serve an old version, as after a restart; 0 ends it."""
        self._stale_version = version

    @property
    def latest_version(self) -> int:
        """Highest version ever published; 0 if none."""
        return self._texts[-1][0] if self._texts else 0

    def read(self) -> TextRead | None:
        """Return the text that is served now; None if the service is down."""
        self.n_calls += 1
        if self.is_down or not self._texts:
            return None
        for version, content in reversed(self._texts):
            if not self._stale_version or version <= self._stale_version:
                return TextRead(version=version, content=content)
        return None
