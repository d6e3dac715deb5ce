"""Restriction of requests to regions."""

__all__ = ["is_region_allowed"]


def is_region_allowed(
    region: str, *, route_regions: frozenset[str], team_regions: frozenset[str]
) -> bool:
    """Return whether a request may be sent to a server of a region.

    Parameters
    ----------
    region : str
        Region of the server.
    route_regions, team_regions : frozenset of str
        Regions to which the route and the team are restricted; empty if unrestricted.
        If both are restricted, both restrictions apply.
    """
    return all(
        not regions or region in regions for regions in (route_regions, team_regions)
    )
