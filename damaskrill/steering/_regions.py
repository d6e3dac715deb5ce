"""Restriction of requests to regions."""

__all__ = ["is_region_allowed"]


def is_region_allowed(
    region: str,
    *,
    route_regions: frozenset[str] | None,
    team_regions: frozenset[str] | None,
) -> bool:
    """Return whether a request may be sent to a server of a region.

    Parameters
    ----------
    region : str
        Region of the server.
    route_regions, team_regions : frozenset of str or None
        Regions to which the route and the team are restricted; None if unrestricted.
        If both are restricted, both restrictions apply.
    """
    return all(
        regions is None or region in regions
        for regions in (route_regions, team_regions)
    )
