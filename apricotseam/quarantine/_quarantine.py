"""Decides which requests are held back because they end targets."""

import logging

import msgspec

from apricotseam.logs import LogPeriods
from apricotseam.quarantine._evidence import Evidence
from apricotseam.quarantine._evidence import LATER_THAN_ANY
from apricotseam.quarantine._evidence import NEVER
from apricotseam.quarantine._evidence import TELLING_ENDS
from apricotseam.quarantine._process_ends import ProcessEnds
from apricotseam.quarantine._process_ends import separate_count
from apricotseam.quarantine._recent import RecentTimes
from apricotseam.quarantine._table import EvidenceTable
from apricotseam.quarantine._traits import hold_rule

_LOG = logging.getLogger(__name__)

# Trials are made until ends under a trait came at this many separate times,
# since joint ends may have had another cause.
MIN_FINAL_TIMES = 3
# Ends from which on late ones count too. Many requests are in progress for
# long on a target that ends.
MIN_ENDS_WITH_LATE = 6
# A trait that no request had for this long is forgotten.
FORGET_SECONDS = 600.0
# Time after the last one of joint ends until all of them are known.
SETTLE_SECONDS = 0.3
# Lines about traits that are not held back are written no more often than
# this, each kind for itself.
LOG_PERIOD_SECONDS = 0.1


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
        self._evidence = EvidenceTable()
        self._sound = RecentTimes()
        self._survived = RecentTimes()
        self._process_ends = ProcessEnds()
        # `Evidence` by trait of the traits that are held back.
        self._held = {}
        # Number of changes that peers should know.
        self.changes = 0
        # Number of traits whose evidence was dropped for want of room.
        self.dropped = 0
        self._log_periods = LogPeriods(LOG_PERIOD_SECONDS, now)
        # Called when a trait begins or ends to be held back.
        self.on_hold_change = lambda: None

    @property
    def held(self):
        """`Evidence` by trait of the traits that are held back."""
        return dict(self._held)

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
        holds = self.find_holds(traits, customer)
        return max(holds, key=_strictness, default=None)

    def find_holds(self, traits, customer):
        """Return the `Hold` of each trait for which a request is held back.

        Parameters
        ----------
        traits, customer
            As for `find_hold`.
        """
        holds = []
        for trait in traits:
            evidence = self._evidence.get(trait)
            if evidence is None:
                continue
            if self._now() >= evidence.review_at:
                self._decide(trait, evidence, "")
            if not evidence.is_held:
                continue
            customers = evidence.customers
            if len(customers) > 1 or customer in customers:
                holds.append(Hold(trait, self._trial_at(trait, evidence)))
        return holds

    def record_held(self, trait):
        """Record that a request with a trait was held back."""
        evidence = self._evidence.get(trait)
        if evidence is not None:
            evidence.seen_at = self._now()

    def record_end(self, traits, end):
        """Record a `TargetEnd` under a request with some traits."""
        for trait in traits:
            self.merge(trait, [end])

    def record_survival(self, traits, customer, began_at):
        """Record that a target has written for `SURVIVAL_SECONDS`.

        It may end all the same, so this disproves no ends that came later.

        Parameters
        ----------
        traits : iterable of str
            Traits of the request.
        customer : str
            Customer that sent it.
        began_at : float
            Time at which the answer began.
        """
        now = self._now()
        for trait in traits:
            self._survived.record(trait, customer, now)
        self._add_answers(traits, began_at, Evidence.add_survival)

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
        began_at = self._now() if began_at is None else began_at
        for trait in traits:
            self._sound.record(trait, customer, began_at)
        self._add_answers(traits, began_at, Evidence.add_answer)

    def _add_answers(self, traits, began_at, add):
        """Add an answer to the evidence of some traits, and decide anew.

        Parameters
        ----------
        traits : iterable of str
            Traits of the request.
        began_at : float
            Time at which the answer began.
        add : callable
            `Evidence.add_answer` or `Evidence.add_survival`.
        """
        now = self._now()
        for trait in traits:
            evidence = self._evidence.get(trait)
            if evidence is None:
                continue
            known_ends = len(evidence.ends)
            if add(evidence, began_at, now):
                self._log_disproof(trait, known_ends, evidence)
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
        evidence = known or Evidence(
            self._sound.get(trait, NEVER), self._survived.get(trait, NEVER)
        )
        is_change = evidence.add_sound(sound_at, now)
        for end in ends:
            is_change |= evidence.add_end(end, now)
            self._process_ends.record(end)
        evidence.seen_at = max(evidence.seen_at, seen_at)
        if known is None and (evidence.ends or evidence.sound_at > NEVER):
            # Who tells of ends should hear of a sound answer known here.
            evidence.changed_at = now
            self._record_dropped(self._evidence.add(trait, evidence))
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
            if evidence.is_held:
                self._release(trait, evidence, "no request had it")
            self._evidence.remove(trait)

    def end_count(self, trait, evidence, with_late=True):
        """Return the number of ends of an `Evidence` that count.

        Joint ends count once. Where most of the processes that ended together
        had requests with the trait, and no sound answer speaks for it, they
        count one by one. Ends that another part explains do not count, if a
        sound answer speaks for the trait.

        Parameters
        ----------
        trait : str
            The trait.
        evidence : Evidence
            What is known of it.
        with_late : bool, optional
            Whether to count ends after a target had written for long.
        """
        counts_joint = hold_rule(trait).counts_joint
        counts_joint = counts_joint and not evidence.is_common
        settled_before = self._now() - SETTLE_SECONDS
        evidence.review_at = LATER_THAN_ANY
        count = 0
        for members, size in self._groups(evidence, with_late):
            separate = separate_count(members)
            if counts_joint and members[-1].at > settled_before:
                evidence.review_at = self._now() + SETTLE_SECONDS
            elif counts_joint and 2 * len(members) > size:
                attempts = {(e.request_key, e.sent_at) for e in members}
                separate = max(separate, len(attempts))
            count += separate
        return count

    def _groups(self, evidence, with_late=True):
        """Return the joint ends that may speak against a trait."""
        explained = self._explained(evidence)
        ends = [
            end
            for end in self._process_ends.possible(evidence.ends.values())
            if end.process not in explained and (with_late or not end.is_late)
        ]
        return self._process_ends.joint_groups(ends)

    def _explained(self, evidence):
        """Return the processes whose ends speak against no common trait.

        They ended under requests with another part, one that none had
        without harm and that is held back.
        """
        if not evidence.is_common:
            return set()
        return {
            process
            for other in self._held.values()
            if not other.is_common
            for process in other.ends
        }

    def _trial_at(self, trait, evidence):
        """Return from when on a trial is allowed, or None."""
        final_ends = max(
            hold_rule(trait).final_ends,
            _required_ends(trait, evidence) + 1,
        )
        if self.end_count(trait, evidence) >= final_ends:
            groups = self._groups(evidence)
            times = sum(separate_count(members) for members, _ in groups)
            if times >= MIN_FINAL_TIMES:
                return None
        return evidence.last_at + hold_rule(trait).trial_wait_seconds

    def _is_guilty(self, trait, evidence):
        if evidence.request_count < hold_rule(trait).min_requests:
            return False
        required = _required_ends(trait, evidence)
        if len(evidence.ends) < required:
            return False
        if self.end_count(trait, evidence, with_late=False) >= required:
            return True
        if evidence.was_sound or len(evidence.ends) < MIN_ENDS_WITH_LATE:
            return False
        return self.end_count(trait, evidence) >= MIN_ENDS_WITH_LATE

    def _decide(self, trait, evidence, release_cause):
        """Decide anew about a trait after a change of its evidence."""
        self.changes += 1
        self._evidence.update(trait)
        if evidence.is_held:
            if evidence.ends:
                self._end_explained(evidence)
            else:
                self._release(trait, evidence, release_cause)
        elif self._is_guilty(trait, evidence):
            self._hold(trait, evidence)
        elif len(evidence.ends) >= hold_rule(trait).min_ends:
            self._log_passage(trait, evidence)

    def _hold(self, trait, evidence):
        """Hold a trait back, and release those that it explains."""
        evidence.is_held = True
        evidence.changed_at = self._now()
        self._evidence.update(trait)
        self._held[trait] = evidence
        self._log_hold(trait, evidence)
        self.on_hold_change()
        self._end_explained(evidence)

    def _end_explained(self, evidence):
        """Release common traits all of whose ends another one explains."""
        if evidence.is_common:
            return
        for other, known in self.held.items():
            if known.is_common and not self._groups(known):
                self._end_hold(other, known, "another part explains the ends")

    def _release(self, trait, evidence, cause):
        """Hold a trait back no longer, and decide anew about the others.

        Their ends may have been explained by it.
        """
        self._end_hold(trait, evidence, cause)
        for other, known in list(self._evidence.items()):
            if other == trait or known.is_held:
                continue
            if self._is_guilty(other, known):
                self._hold(other, known)

    def _end_hold(self, trait, evidence, cause):
        evidence.is_held = False
        del self._held[trait]
        _log_release(trait, cause)
        self.on_hold_change()

    def _record_dropped(self, dropped):
        """Count and log evidence that was dropped for want of room."""
        self.dropped += len(dropped)
        for trait, evidence in dropped:
            if evidence.is_held:
                self._release(trait, evidence, "dropped for want of room")
            self._log_dropped(trait, evidence)

    def _log_dropped(self, trait, evidence):
        self._log_bounded(
            "quarantine_evidence_dropped",
            trait,
            ends=len(evidence.ends),
            dropped=self.dropped,
        )

    def _log_passage(self, trait, evidence):
        """Log why requests with a trait are not held back yet."""
        self._log_bounded(
            "quarantine_not_begun",
            trait,
            ends=len(evidence.ends),
            counted=self.end_count(trait, evidence),
            required=_required_ends(trait, evidence),
            requests=evidence.request_count,
        )

    def _log_disproof(self, trait, known_ends, evidence):
        """Log that a sound answer disproved ends under a trait."""
        if known_ends >= TELLING_ENDS:
            self._log_bounded(
                "quarantine_ends_disproved",
                trait,
                ends=known_ends,
                left=len(evidence.ends),
            )

    def _log_bounded(self, event, trait, **fields):
        """Log an event about a trait, unless one was logged just before."""
        if self._log_periods.is_due(event):
            _LOG.info(event, extra={"trait": trait, **fields})

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
    return rule.min_ends_common if evidence.is_common else rule.min_ends


def _log_release(trait, cause):
    _LOG.warning("quarantine_ended", extra={"trait": trait, "cause": cause})
