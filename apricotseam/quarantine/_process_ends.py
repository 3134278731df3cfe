"""Ends of processes, whatever traits they speak against."""

import collections
import itertools

from apricotseam.quarantine._evidence import NEVER

# Ends without a longer pause between them are joint: they may have a common
# cause, such as a loss of power.
JOINT_SECONDS = 0.1
# Processes whose ends are compared in time.
MAX_PROCESSES = 256


class ProcessEnds:
    """When processes ended, and which of them had begun to answer.

    All times are monotonic, in seconds. Processes are named as in
    `TargetEnd`.
    """

    def __init__(self):
        self._ended_at = collections.OrderedDict()
        # Processes that had begun to answer a request just before.
        self._begun = set()

    def record(self, end):
        """Record the process of a `TargetEnd`."""
        known = self._ended_at.get(end.process)
        if known is None or end.at < known:
            self._ended_at[end.process] = end.at
        if end.is_begun:
            self._begun.add(end.process)
        if len(self._ended_at) > MAX_PROCESSES:
            oldest, _ = self._ended_at.popitem(last=False)
            self._begun.discard(oldest)

    def possible(self, ends):
        """Return those of some ends that their requests may have caused.

        A request that waited at a target is no cause if the target had begun
        to answer another one.
        """
        return [
            end
            for end in ends
            if end.is_begun or end.process not in self._begun
        ]

    def joint_groups(self, ends):
        """Return joint ends as pairs of lists.

        Parameters
        ----------
        ends : list of TargetEnd
            Ends of interest.

        Returns
        -------
        list of tuple
            For each group with an end of interest, these in order of time,
            and the number of all processes that ended in it.
        """
        own = {end.process: end for end in ends}
        times = {**self._ended_at, **{p: e.at for p, e in own.items()}}
        groups = []
        for processes in _split(times):
            members = [own[p] for p in processes if p in own]
            if members:
                groups.append((members, len(processes)))
        return groups


def separate_count(members):
    """Return how many joint ends are separate.

    They count once, but for those whose request was sent after the end
    before.

    Parameters
    ----------
    members : list of TargetEnd
        Joint ends under requests with one trait, in order of time.
    """
    return 1 + sum(
        end.sent_at > before.at for before, end in itertools.pairwise(members)
    )


def _split(ended_at):
    """Return lists of processes with joint ends, in order of time."""
    groups = []
    last_at = NEVER
    for process, at in sorted(ended_at.items(), key=_time_of):
        if at - last_at > JOINT_SECONDS:
            groups.append([])
        groups[-1].append(process)
        last_at = at
    return groups


def _time_of(item):
    return item[1]
