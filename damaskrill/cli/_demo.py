"""The command ``damaskrill demo``."""

__all__ = ["run"]


def run() -> int:
    """Run three routers and stand-ins on loopback and tell what happens.

    Returns
    -------
    int
        0 if everything went as told, 1 if not.
    """
    from damaskrill.demo import run_demo

    return run_demo()
