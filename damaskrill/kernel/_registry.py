"""Registry in which plug-ins register themselves by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from damaskrill.exceptions import DuplicatePluginError, UnknownPluginError

__all__ = ["Registry", "registry"]

PluginT = TypeVar("PluginT", bound=type)


class Registry:
    """Plug-in classes by kind and name.

    Notes
    -----
    A plug-in module is imported by ``load_plugins``; its classes carry the
    ``register`` decorator, so importing is all that is needed.
    """

    def __init__(self) -> None:
        self._plugins: dict[str, dict[str, type]] = {}

    def register(self, kind: str, name: str) -> Callable[[PluginT], PluginT]:
        """Return a class decorator that registers the class.

        Parameters
        ----------
        kind : str
            For example ``"placement"``.
        name : str
            Unique within the kind.

        Raises
        ------
        DuplicatePluginError
            If another class has that kind and name.
        """

        def decorate(plugin: PluginT) -> PluginT:
            known = self._plugins.setdefault(kind, {}).setdefault(name, plugin)
            if known is not plugin:
                raise DuplicatePluginError(kind=kind, name=name)
            return plugin

        return decorate

    def names(self, kind: str) -> list[str]:
        """Return the registered names of a kind, sorted."""
        return sorted(self._plugins.get(kind, ()))

    def create(self, kind: str, name: str, **parameters: Any) -> Any:
        """Build a plug-in.

        Parameters
        ----------
        kind, name : str
            Which one.
        **parameters : object
            Keyword arguments of its constructor.

        Returns
        -------
        object
            The new instance.

        Raises
        ------
        UnknownPluginError
            If there is none of that kind and name.
        """
        plugin = self._plugins.get(kind, {}).get(name)
        if plugin is None:
            known = ", ".join(self.names(kind)) or "none"
            raise UnknownPluginError(kind=kind, name=name, known=known)
        return plugin(**parameters)


registry = Registry()
