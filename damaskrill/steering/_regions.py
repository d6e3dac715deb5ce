"""Which regions a request may go to."""

__all__ = ["is_region_allowed"]


def is_region_allowed(
    region: str, *, route_regions: frozenset[str], team_regions: frozenset[str]
) -> bool:
    """Return whether a server of a region may get a request.

    Parameters
    ----------
    region : str
        Region of the server.
    route_regions, team_regions : frozenset of str
        Regions to which the route and the team are bound; empty if to none. Where
        both are, both bind.
    """
    return all(
        not regions or region in regions for regions in (route_regions, team_regions)
    )
