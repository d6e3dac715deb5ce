"""Small stand-ins of the users' platform for the cases 6 to 10 of the review."""
