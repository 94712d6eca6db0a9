"""Which HTTP status a final reply of a backend server may have."""

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a status is one of a final reply (RFC 9110, section 15).

    A reply with any other status tells nothing about its request, which may have run.
    """
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS
