"""Command-line interface.

Notes
-----
A command is a module ``damaskrill.cli._<command>`` with a function ``run`` that returns
the exit status, and an entry in ``_commands.COMMANDS``. Positional parameters of
``run`` are arguments of the command, keyword-only parameters are flags. A flag of type
``tuple[str, ...]`` takes all arguments up to the next flag, a ``bool`` takes none. The
docstring of ``run`` is the help of the command. Only the module of the command that is
run is imported, so this module may import its dependencies at the top.
"""

from damaskrill.cli._main import main

__all__ = ["main"]
