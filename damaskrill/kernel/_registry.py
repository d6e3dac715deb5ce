"""Registry of plug-in classes by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from damaskrill.exceptions import DuplicatePluginError, UnknownPluginError

__all__ = ["Registry", "registry"]

PluginT = TypeVar("PluginT", bound=type)


class Registry:
    """Registry of plug-in classes by kind and name.

    Notes
    -----
    ``load_plugins`` imports the plug-in modules. Their classes have the ``register``
    decorator, so the import is sufficient to register them.
    """

    def __init__(self) -> None:
        self._plugins: dict[str, dict[str, type]] = {}

    def register(self, kind: str, name: str) -> Callable[[PluginT], PluginT]:
        """Return a class decorator that registers a plug-in class.

        Parameters
        ----------
        kind : str
            Kind of the plug-in, for example ``"placement"``.
        name : str
            Name of the plug-in, unique within its kind.

        Raises
        ------
        DuplicatePluginError
            If another class is registered under this kind and name.
        """

        def decorate(plugin: PluginT) -> PluginT:
            registered = self._plugins.setdefault(kind, {}).setdefault(name, plugin)
            if registered is not plugin:
                raise DuplicatePluginError(kind=kind, name=name)
            return plugin

        return decorate

    def names(self, kind: str) -> list[str]:
        """Return the registered names of a kind, sorted."""
        return sorted(self._plugins.get(kind, ()))

    def create(self, kind: str, name: str, **parameters: Any) -> Any:
        """Create an instance of a plug-in.

        Parameters
        ----------
        kind, name : str
            Kind and name of the plug-in.
        **parameters : object
            Keyword arguments of its constructor.

        Returns
        -------
        object
            The new instance.

        Raises
        ------
        UnknownPluginError
            If no class is registered under this kind and name.
        """
        plugin = self._plugins.get(kind, {}).get(name)
        if plugin is None:
            known = ", ".join(self.names(kind)) or "none"
            raise UnknownPluginError(kind=kind, name=name, known=known)
        return plugin(**parameters)


registry = Registry()
