"""Commands of ``damaskrill``; each returns its exit status."""

import sys

import fire

from damaskrill import __version__

__all__ = ["Commands", "main"]


class Commands:
    """A router fleet for very many returning chats."""

    def version(self) -> str:
        """Print the version."""
        return f"damaskrill {__version__}"

    def serve(self, *, settings: str) -> None:
        """Run one router until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        from damaskrill.configuration import read_settings
        from damaskrill.runtime import serve

        sys.exit(serve(read_settings(settings)))


def main() -> None:
    """Run the command named in the arguments."""
    fire.Fire(Commands, command=sys.argv[1:], name="damaskrill")
