"""The users' rule about the request limits that backend servers state."""

# A limit binds this long after it was first stated.
SETTLE_S = 3.0
# Some window may have one and a half times what the limit allows, and a few requests.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK_REQUESTS = 5


def allowed_requests(limit_per_s):
    """Return the number of requests that one window may have."""
    return EXCESS * limit_per_s * WINDOW_S + SLACK_REQUESTS


def most_in_window(times_s, window_s=WINDOW_S):
    """Return the most of some sorted times that lie in any window of a length."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
