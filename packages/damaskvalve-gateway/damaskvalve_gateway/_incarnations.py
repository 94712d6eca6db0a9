"""Incarnations of backend servers."""

#: One start of a backend server: its id and its time of start in milliseconds.
Incarnation = tuple[str, int]


def format_incarnation(incarnation: Incarnation) -> str:
    """Return the text that stands for an incarnation in committed records."""
    instance_id, started_at_ms = incarnation
    return f"{started_at_ms}/{instance_id}"


def parse_incarnation(name: str) -> Incarnation:
    """Return the incarnation that :func:`format_incarnation` wrote."""
    started_at_ms, _, instance_id = name.partition("/")
    return instance_id, int(started_at_ms)
