"""Table of the commands, which are imported when they are run."""

from collections.abc import Callable
from importlib import import_module

from attrs import frozen

from damaskrill.cli._errors import UsageError

__all__ = ["COMMANDS", "Command", "find_command"]

RunFunction = Callable[..., int]


@frozen(kw_only=True)
class Command:
    """Command of the command-line interface.

    Parameters
    ----------
    name : str
        Name on the command line.
    summary : str
        One-line description in the list of commands.
    """

    name: str
    summary: str

    def load(self) -> RunFunction:
        """Import the module of the command and return its function."""
        module = import_module(f"damaskrill.cli._{self.name}")
        return module.run


COMMANDS: dict[str, Command] = {
    command.name: command
    for command in (
        Command(name="serve", summary="Run one router until SIGTERM or SIGINT."),
        Command(name="gateway", summary="Run one router on the users' platform."),
        Command(name="soak", summary="Inject faults into router processes."),
        Command(name="experiment", summary="Simulate a load pattern in virtual time."),
        Command(name="demo", summary="Demonstrate a small fleet on loopback."),
        Command(name="check", summary="Validate settings or an operators' text."),
        Command(name="replay", summary="Replay traces and check their outcomes."),
        Command(name="explain", summary="Print the cause chain of one request."),
        Command(name="report", summary="Report error budget burn from logs."),
        Command(name="version", summary="Print the version and the build."),
    )
}


def find_command(name: str) -> Command:
    """Return the command with the given name.

    Raises
    ------
    UsageError
        If there is no such command.
    """
    command = COMMANDS.get(name)
    if command is None:
        names = ", ".join(COMMANDS)
        raise UsageError(reason=f"unknown command '{name}'; available: {names}")
    return command
