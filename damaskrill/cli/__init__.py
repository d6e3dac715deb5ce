"""The command line.

Notes
-----
A command is a module ``damaskrill.cli._<command>`` with a function ``run`` that returns
the exit status, and a line in ``_commands.COMMANDS``. Positional parameters of ``run``
are arguments of the command, keyword-only ones flags; a ``tuple[str, ...]`` takes all
words up to the next flag, a ``bool`` takes none. The first line of the docstring is the
command's help. Only the module of the command that is run is imported, so ``run``'s
module may import what it needs at its top.
"""

from damaskrill.cli._main import main

__all__ = ["main"]
