"""Disks that are lost in the moment in which all other members lose power.

Nothing remains of the members but what is synced on the disks that are left.
"""

import random

from damaskvalve_state.tests.fake_group import STEP_S
from damaskvalve_state.tests.loss_simulation import (
    PROCESS_START_S,
    SIZES_BY_TOLERANCE,
    Losses,
    LossGroup,
    explained_failures,
    run_until,
    run_until_all_back,
)

# Losses that may precede a loss of power, each as often as the others.
EARLIER_LOSSES = (
    (),
    ("restart",),
    ("stop",),
    ("stop", "stop", "stop"),
    ("replace",),
    ("replace", "replace"),
    ("stop_for_good",),
    ("gone",),
    ("wipe",),
)
MAX_WAIT_S = 8.0
MAX_DOWN_S = 2.0


class PowerLossGroup(LossGroup):
    """A group that can lose power while a member writes."""

    def __init__(self, seed, size, tolerance):
        super().__init__(seed, size, tolerance)
        # Called once, during the next write of a member, which is lost.
        self.on_write = None

    def delays_write(self, host, output, reply, to):
        """Lose the write if the power fails in it; its early messages are sent."""
        if self.on_write is not None and output.records:
            on_write, self.on_write = self.on_write, None
            # Nothing else happens on the host until then.
            host.frozen_until_s = self.now_s + STEP_S
            self.at(0.0, on_write)
            return True
        return super().delays_write(host, output, reply, to)


class PowerLosses(Losses):
    """Loses the tolerated disks together with the power of all members."""

    def lose_disks_and_power(self, *, may_move):
        """Lose as many disks as the rule still allows, and the power of all others.

        ``may_move`` lets some of the lost hosts come back at another address.
        """
        group = self.group
        lost_disks = self.rule.lost_disks(group.now_s)
        hosts = [
            host
            for host in group.hosts.values()
            if host.consensus is not None and host.address not in lost_disks
        ]
        count = min(self.rule.tolerance - len(lost_disks), len(hosts))
        lost = self.rng.sample(hosts, max(count, 0))
        moved = [
            host
            for host in lost
            if may_move
            and host.slot not in group.busy_slots
            and self.rng.random() < 0.5
        ]
        wiped = [host for host in lost if host not in moved]
        for host in moved:
            self._lose(host, disk=True)
            group.busy_slots.add(host.slot)
            self.pending += 1
            self._remove_and_replace(host)
        self._end_all("all lose power", 0.3, MAX_DOWN_S, wiped)


def run_disk_and_power_losses(seed, tolerance, size=None, rounds=4, *, may_move=True):
    """Lose disks and the power of all again and again, each time after other losses.

    After each time everything acknowledged must be readable and a new change accepted
    within the recovery time. Return the group.
    """
    rng = random.Random(seed)
    size = size or rng.choice(SIZES_BY_TOLERANCE[tolerance])
    group = PowerLossGroup(rng.random(), size, tolerance)
    losses = PowerLosses(group, overlap_share=0.0)
    with explained_failures(group, seed):
        group.run(3.0)
        for number in range(rounds):
            for kind in rng.choice(EARLIER_LOSSES):
                losses.begin_when_allowed(kind, MAX_WAIT_S)
                group.run(rng.choice([0.0, rng.uniform(0.0, MAX_WAIT_S)]))
            lost = _lose_at_a_moment(group, losses, may_move=may_move)
            run_until(group, lambda lost=lost: lost, "the power is never lost")
            run_until_all_back(group, losses)
            group.last_proposal = f"after-power-loss-{number}"
            run_until(group, group.has_recovered, "the group did not recover")
            group.run(rng.choice([0.0, MAX_WAIT_S]))
    return group


def _lose_at_a_moment(group, losses, *, may_move):
    """Lose disks and power soon; return a list that is filled when it happens."""
    lost = []

    def lose():
        lost.append(group.now_s)
        losses.lose_disks_and_power(may_move=may_move)

    moment = group.rng.choice(["any", "acknowledged", "written"])
    if moment == "any":
        group.at(group.rng.uniform(0.0, STEP_S + PROCESS_START_S), lose)
    elif moment == "acknowledged":
        group.on_ack = lose
    else:
        group.on_write = lose
    return lost
