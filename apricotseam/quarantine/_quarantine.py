"""Decides which requests are held back because they end targets."""

import collections
import itertools
import logging

import msgspec

from apricotseam.quarantine._evidence import Evidence
from apricotseam.quarantine._evidence import NEVER
from apricotseam.quarantine._recent import RecentTimes
from apricotseam.quarantine._traits import hold_rule

_LOG = logging.getLogger(__name__)

# A trait that requests without harm had within this time before the first
# end is a common one.
COMMON_SECONDS = 30.0
# Ends without a longer pause between them count as one: they may have a
# common cause, such as a loss of power.
JOINT_SECONDS = 0.1
# A trait that no request had for this long is forgotten.
FORGET_SECONDS = 600.0
# Traits with evidence, in total and of the requests of one customer.
MAX_TRAITS = 1024
MAX_CUSTOMER_TRAITS = 64
# Dropped evidence is logged no more often than this.
DROP_LOG_PERIOD_SECONDS = 1.0
# Processes whose ends are compared in time.
MAX_PROCESSES = 256


class Hold(msgspec.Struct, frozen=True):
    """Why a request is held back.

    ``trial_at`` is the monotonic time in seconds from which one request with
    the trait is tried, None if none is.
    """

    trait: str
    trial_at: float | None


class Quarantine:
    """Traits of requests that end targets' processes, as all hosts know them.

    A trait is held back once several processes have ended one after another
    as they began to answer requests with it, and none of these requests has
    been answered since. It is held back for the customers whose requests
    these were, for all once they are two.

    Parameters
    ----------
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, now):
        self._now = now
        # `Evidence` by trait, the oldest first.
        self._evidence = collections.OrderedDict()
        self._sound = RecentTimes()
        # Time of the end of each process, whatever trait it speaks against,
        # and the processes that had begun to answer a request just before.
        self._ended_at = collections.OrderedDict()
        self._begun = set()
        # Number of changes that peers should know.
        self.changes = 0
        # Number of traits whose evidence was dropped for want of room.
        self.dropped = 0
        self._drop_logged_at = NEVER
        # Called when a trait begins or ends to be held back.
        self.on_hold_change = lambda: None

    @property
    def held(self):
        """`Evidence` by trait of the traits that are held back."""
        return {
            trait: evidence
            for trait, evidence in self._evidence.items()
            if evidence.is_held
        }

    def items(self):
        """Return pairs of a trait and its `Evidence`."""
        return self._evidence.items()

    def find_hold(self, traits, customer):
        """Return the `Hold` of a request, or None if it may be sent.

        If several of its traits are held back, it is that of the one with
        the latest trial, or with none.

        Parameters
        ----------
        traits : iterable of str
            Traits of the request.
        customer : str
            Customer that sent it.
        """
        strictest = None
        for trait in traits:
            evidence = self._evidence.get(trait)
            if evidence is None or not evidence.is_held:
                continue
            customers = evidence.customers
            if len(customers) > 1 or customer in customers:
                hold = Hold(trait, self._trial_at(trait, evidence))
                strictest = max(strictest or hold, hold, key=_strictness)
        return strictest

    def record_held(self, trait):
        """Record that a request with a trait was held back."""
        self._evidence[trait].seen_at = self._now()

    def record_end(self, traits, end):
        """Record a `TargetEnd` under a request with some traits."""
        for trait in traits:
            self.merge(trait, [end])

    def record_sound(self, traits, customer, began_at=None):
        """Record that a request was answered completely and without harm.

        Parameters
        ----------
        traits : iterable of str
            Traits of the request.
        customer : str
            Customer that sent it.
        began_at : float, optional
            Time at which the answer began; now by default.
        """
        now = self._now()
        began_at = now if began_at is None else began_at
        for trait in traits:
            self._sound.record(trait, customer, began_at)
            evidence = self._evidence.get(trait)
            if evidence is None:
                continue
            known_ends = len(evidence.ends)
            if evidence.add_answer(began_at, now):
                _log_disproof(trait, known_ends, evidence)
                self._decide(trait, evidence, "requests were answered")

    def merge(self, trait, ends=(), sound_at=NEVER, seen_at=NEVER):
        """Add what a host, or the store, knows of a trait.

        Parameters
        ----------
        trait : str
            The trait.
        ends : iterable of TargetEnd
            Ends under requests with it.
        sound_at : float
            Time at which such a request was last seen to do no harm.
        seen_at : float
            Time of the last request that was held back.
        """
        now = self._now()
        known = self._evidence.get(trait)
        evidence = known or Evidence(self._sound.get(trait, NEVER))
        is_change = evidence.add_sound(sound_at, now)
        for end in ends:
            is_change |= evidence.add_end(end, now)
            self._note_process(end)
        evidence.seen_at = max(evidence.seen_at, seen_at)
        if known is None and (evidence.ends or evidence.sound_at > NEVER):
            # Who tells of ends should hear of a sound answer known here.
            evidence.changed_at = now
            self._insert(trait, evidence)
            is_change = True
        if is_change:
            self._decide(trait, evidence, "requests were answered")

    def release(self, trait):
        """Hold a trait back no longer, unless targets end anew.

        Returns
        -------
        bool
            Whether it was held back.
        """
        evidence = self._evidence.get(trait)
        was_held = evidence is not None and evidence.is_held
        if was_held:
            evidence.add_sound(self._now(), self._now())
            self._decide(trait, evidence, "released by an operator")
        return was_held

    def expire(self):
        """Forget the traits that no request had for a long time."""
        forget_before = self._now() - FORGET_SECONDS
        for trait, evidence in list(self._evidence.items()):
            last_at = max(evidence.last_at, evidence.seen_at)
            if max(last_at, evidence.changed_at) > forget_before:
                continue
            del self._evidence[trait]
            if evidence.is_held:
                _log_release(trait, "no request had it")
                self.on_hold_change()

    def end_count(self, evidence):
        """Return the number of separate ends of an `Evidence`.

        Joint ends count once, unless the request was sent after the end
        before. A request that waited at a target is no cause if the target
        had begun to answer another one.
        """
        ends = [
            end
            for end in evidence.ends.values()
            if end.is_begun or end.process not in self._begun
        ]
        ends.sort(key=lambda end: end.at)
        own = {end.process: end.at for end in ends}
        groups = _joint_groups({**own, **self._ended_at})
        joint = sum(
            groups[end.process] == groups[before.process]
            and end.sent_at <= before.at
            for before, end in itertools.pairwise(ends)
        )
        return len(ends) - joint

    def _trial_at(self, trait, evidence):
        """Return from when on a trial is allowed, or None."""
        final_ends = max(
            hold_rule(trait).final_ends,
            _required_ends(trait, evidence) + 1,
        )
        if self.end_count(evidence) >= final_ends:
            return None
        return evidence.last_at + hold_rule(trait).trial_wait_seconds

    def _is_guilty(self, trait, evidence):
        if evidence.request_count < hold_rule(trait).min_requests:
            return False
        required = _required_ends(trait, evidence)
        if len(evidence.ends) < required:
            return False
        return self.end_count(evidence) >= required

    def _decide(self, trait, evidence, release_cause):
        """Decide anew about a trait after a change of its evidence."""
        self.changes += 1
        if evidence.is_held:
            evidence.is_held = bool(evidence.ends)
            if not evidence.is_held:
                _log_release(trait, release_cause)
            self.on_hold_change()
        elif self._is_guilty(trait, evidence):
            evidence.is_held = True
            evidence.changed_at = self._now()
            self._log_hold(trait, evidence)
            self.on_hold_change()
        elif len(evidence.ends) >= hold_rule(trait).min_ends:
            self._log_passage(trait, evidence)

    def _note_process(self, end):
        known = self._ended_at.get(end.process)
        if known is None or end.at < known:
            self._ended_at[end.process] = end.at
        if end.is_begun:
            self._begun.add(end.process)
        if len(self._ended_at) > MAX_PROCESSES:
            oldest, _ = self._ended_at.popitem(last=False)
            self._begun.discard(oldest)

    def _insert(self, trait, evidence):
        """Add evidence of a new trait within the bounds."""
        self._evidence[trait] = evidence
        customers = evidence.customers
        same = [
            t
            for t, e in self._evidence.items()
            if not e.is_held and e.customers <= customers and e is not evidence
        ]
        if len(same) >= MAX_CUSTOMER_TRAITS:
            self._drop(same[0])
        if len(self._evidence) > MAX_TRAITS:
            self._drop_oldest()

    def _drop_oldest(self):
        """Drop the oldest trait that is not held back, else the oldest."""
        free = (t for t, e in self._evidence.items() if not e.is_held)
        self._drop(next(free, next(iter(self._evidence))))

    def _drop(self, trait):
        """Drop the evidence of a trait, for want of room."""
        evidence = self._evidence.pop(trait)
        self.dropped += 1
        if self._now() < self._drop_logged_at + DROP_LOG_PERIOD_SECONDS:
            return
        self._drop_logged_at = self._now()
        _LOG.info(
            "quarantine_evidence_dropped",
            extra={
                "trait": trait,
                "ends": len(evidence.ends),
                "dropped": self.dropped,
            },
        )

    def _log_passage(self, trait, evidence):
        """Log why requests with a trait are not held back yet."""
        _LOG.info(
            "quarantine_not_begun",
            extra={
                "trait": trait,
                "ends": len(evidence.ends),
                "counted": self.end_count(evidence),
                "required": _required_ends(trait, evidence),
                "requests": evidence.request_count,
            },
        )

    def _log_hold(self, trait, evidence):
        now = self._now()
        _LOG.warning(
            "quarantine_began",
            extra={
                "trait": trait,
                "customers": sorted(evidence.customers),
                "ends": [
                    {
                        "target": end.process[0],
                        "request_key": end.request_key,
                        "age_seconds": round(now - end.at, 3),
                    }
                    for end in evidence.ends.values()
                ],
            },
        )


def _strictness(hold):
    return float("inf") if hold.trial_at is None else hold.trial_at


def _required_ends(trait, evidence):
    rule = hold_rule(trait)
    since = evidence.first_at - COMMON_SECONDS
    is_common = evidence.sound_at > since
    return rule.min_ends_common if is_common else rule.min_ends


def _joint_groups(ended_at):
    """Return the number of the joint end by process.

    Parameters
    ----------
    ended_at : dict of tuple to float
        Time in seconds by process.
    """
    groups = {}
    number = 0
    last_at = NEVER
    for process, at in sorted(ended_at.items(), key=_time_of):
        if at - last_at > JOINT_SECONDS:
            number += 1
        groups[process] = number
        last_at = at
    return groups


def _time_of(item):
    return item[1]


def _log_disproof(trait, known_ends, evidence):
    """Log that a sound answer disproved ends under a trait."""
    if known_ends < 2:
        return
    _LOG.info(
        "quarantine_ends_disproved",
        extra={
            "trait": trait,
            "ends": known_ends,
            "left": len(evidence.ends),
        },
    )


def _log_release(trait, cause):
    _LOG.warning("quarantine_ended", extra={"trait": trait, "cause": cause})
