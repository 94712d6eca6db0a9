"""Incarnations of backend servers."""

#: One start of a backend server: its id and its time of start in milliseconds.
Incarnation = tuple[str, int]
