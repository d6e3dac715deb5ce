"""The command ``damaskrill demo``."""

__all__ = ["run"]


def run() -> int:
    """Run three routers with fakes on loopback and print what happens.

    Returns
    -------
    int
        Exit status: 0 if all checks passed, 1 if not.
    """
    from damaskrill.demo import run_demo

    return run_demo()
