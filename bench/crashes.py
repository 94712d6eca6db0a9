"""Both errors of deciding which requests end the servers that run them.

For servers that run 1, 8 and 24 requests at once, and 1 or 12 crashing requests among
sound ones: how many servers each crashing request has ended, and how many sound
requests were refused, by the rule that only counts and by the book of the gateway.
"""

from damaskvalve_gateway._crashes import CrashBook
from damaskvalve_gateway.tests.crash_world import CountingRule, play

SLOTS = (1, 8, 24)
CRASHING = (1, 12)
SEEDS = range(1, 9)
RULES = (("counting", CountingRule), ("book", CrashBook))


def main() -> None:
    """Print the table."""
    print("| at once | crashing | rule | servers ended by each, mean, most | ", end="")
    print("sound requests refused | sound sends refused |")
    print("| --- | --- | --- | --- | --- | --- |")
    for slots in SLOTS:
        for crashing in CRASHING:
            for name, make in RULES:
                plays = [play(make(), slots, crashing, seed) for seed in SEEDS]
                ended = [count for one in plays for count in one.ended.values()]
                refused = sum(len(one.refused) for one in plays)
                sends = sum(one.sends for one in plays)
                in_vain = sum(one.refused_sends for one in plays)
                mean = sum(ended) / len(ended)
                print(
                    f"| {slots} | {crashing} | {name} | {mean:.2f}, {max(ended)} "
                    f"| {refused} | {in_vain} of {sends} |"
                )


if __name__ == "__main__":
    main()
