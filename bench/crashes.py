"""What deciding which requests end the servers that run them costs, and its errors.

First both errors, for servers that run 1, 8 and 24 requests at once and 1 or 12
crashing requests among sound ones: how many servers each crashing request has ended,
and how many sound ones were refused, by the rule that only counts and by the gateway's
book. Then what hosts and the leader hold, send and compute when a thousand different
requests break in one second.
"""

import asyncio
import time
import tracemalloc
import types

from damaskvalve_core import boot_clock_s, encode_struct
from damaskvalve_core.messages import Command, CrashNotice
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import ENDED, MAX_FINGERPRINTS, CrashTracker
from damaskvalve_gateway._quarantine import updated_statuses
from damaskvalve_gateway.tests.crash_simulation import CountingRule, simulate

SLOTS = (1, 8, 24)
CRASHING = (1, 12)
SEEDS = range(1, 9)
RULES = (("counting", CountingRule), ("book", CrashTracker))
BROKEN = 1_000
HOSTS = (8, 70, 410)
KIB = 1024
AT_ONCE = 24
STARTED_AT_MS = 1_700_000_000_000


def print_errors() -> None:
    """Print the table of both errors."""
    print("| at once | crashing | rule | servers ended by each, mean, most | ", end="")
    print("sound requests refused | sound sends refused |")
    print("| --- | --- | --- | --- | --- | --- |")
    for slots in SLOTS:
        for crashing in CRASHING:
            for name, make in RULES:
                plays = [simulate(make(), slots, crashing, seed) for seed in SEEDS]
                ended = [count for one in plays for count in one.ended.values()]
                refused = sum(len(one.refused) for one in plays)
                sends = sum(one.sends for one in plays)
                in_vain = sum(one.refused_sends for one in plays)
                mean = sum(ended) / len(ended)
                print(
                    f"| {slots} | {crashing} | {name} | {mean:.2f}, {max(ended)} "
                    f"| {refused} | {in_vain} of {sends} |"
                )


class _Log:
    """Takes lines and keeps none."""

    def line(self, kind: str, **fields: object) -> None:
        """Drop a line."""


def _fingerprint(number: int) -> str:
    return f"{number:024x}"


def _server(number: int, place: int) -> str:
    """Return the server that a request ends, always together with the same others."""
    return f"i-{number // AT_ONCE * 3 + place:010x}"


def _lead(breaks: int) -> tuple[int, float, list[int]]:
    """Let a leader take the breaks of a second.

    Return the bytes that hosts send it, the seconds that it computes, and the bytes of
    each command that it commits to every host.
    """
    view = ClusterView()
    commands: list[int] = []
    records: dict[str, object] = {}

    async def commit(command: Command) -> None:
        commands.append(len(encode_struct(command)))
        for item in command.record_suspects.suspects:
            records[item.fingerprint] = item
        now_s = boot_clock_s()
        view.suspect_statuses = updated_statuses(view.suspect_statuses, records, now_s)

    status = types.SimpleNamespace(leader_id="L/1")
    state_client = types.SimpleNamespace(commit=commit, status=lambda: status)
    controller = CrashController(state_client, view, _Log())
    notices = [
        CrashNotice(_fingerprint(number), _server(number, place), 0.1, STARTED_AT_MS)
        for number in range(BROKEN)
        for place in range(breaks)
    ]
    sent = sum(len(encode_struct(notice)) for notice in notices)

    async def work() -> float:
        began_s = time.process_time()
        now_s = boot_clock_s()
        controller.merge_reports(notices, {}, now_s)
        while True:
            before = len(commands)
            view.crashes.settle(lambda start, since_s: ENDED, now_s)
            await controller._commit_changes(now_s)
            if len(commands) == before:
                return time.process_time() - began_s

    return sent, asyncio.run(work()), commands


def print_costs() -> None:
    """Print what a thousand different requests cost that break in one second."""
    print("| each breaks | hosts | to the leader, kB | from each host, kB ", end="")
    print("| commands | to each host, kB | leader computes, s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for breaks in (1, 3):
        sent, took_s, commands = _lead(breaks)
        for hosts in HOSTS:
            print(
                f"| {breaks} | {hosts} | {sent / KIB:.1f} | {sent / KIB / hosts:.2f} "
                f"| {len(commands)} | {sum(commands) / KIB:.1f} | {took_s:.3f} |"
            )
    tracemalloc.start()
    tracker = CrashTracker()
    for number in range(MAX_FINGERPRINTS):
        tracker.note_run(_fingerprint(number), (f"i-{number:010x}", STARTED_AT_MS), 1.0)
    held, _ = tracemalloc.get_traced_memory()
    for number in range(MAX_FINGERPRINTS):
        tracker.note_served(_fingerprint(MAX_FINGERPRINTS + number), 1.0)
    with_served, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.process_time()
    tracker.settle(lambda start, since_s: ENDED, 2.0)
    settle_s = time.process_time() - began_s
    print()
    print(f"A full book: {held / KIB:.0f} KiB for {MAX_FINGERPRINTS} broken requests,")
    print(f"{(with_served - held) / KIB:.0f} KiB for as many that ended well;")
    print(f"one look at all of it: {settle_s:.4f} s of a core.")


def main() -> None:
    """Print both tables."""
    print_errors()
    print()
    print_costs()


if __name__ == "__main__":
    main()
