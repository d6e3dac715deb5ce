"""Fake of the platform's configuration service."""

from attrs import define, field

from damaskrill.messages import TextRead

__all__ = ["FakeConfigurationService"]


@define(kw_only=True)
class FakeConfigurationService:
    """Versioned value that clients can read and watch but not write.

    Parameters
    ----------
    is_down : bool, default=False
        Whether the service is unreachable.

    Notes
    -----
    ``n_calls`` counts every read and every waiting watch as one call.
    """

    is_down: bool = False
    n_calls: int = field(default=0, init=False)
    _texts: list[tuple[int, bytes]] = field(factory=list, init=False)
    _stale_version: int = field(default=0, init=False)

    def publish(self, content: bytes) -> int:
        """Publish a new text and return its version."""
        version = self._texts[-1][0] + 1 if self._texts else 1
        self._texts.append((version, content))
        return version

    def serve_stale(self, version: int) -> None:
        """Serve an old version, as after a restart; 0 ends this."""
        self._stale_version = version

    @property
    def latest_version(self) -> int:
        """Highest published version; 0 if there is none."""
        return self._texts[-1][0] if self._texts else 0

    def read(self) -> TextRead | None:
        """Return the served text; None if the service is down or has no text."""
        self.n_calls += 1
        if self.is_down or not self._texts:
            return None
        for version, content in reversed(self._texts):
            if not self._stale_version or version <= self._stale_version:
                return TextRead(version=version, content=content)
        return None
