"""Tells hosts under which requests targets ended, and which did no harm."""

import msgspec

from apricotseam.quarantine import TargetEnd

# Age up to which a change of the evidence is told to others.
NOTICE_SECONDS = 5.0
# Traits in one message, in a small and in a large fleet. Those that are held
# back come first, then those with several ends. Of the others, which may be
# many, each is told in turn.
MAX_NOTICES = 128
MAX_LARGE_FLEET_NOTICES = 48


class EndNotice(msgspec.Struct, frozen=True, array_like=True):
    """Notice of a `TargetEnd`; its times are given as ages."""

    target: str
    born_ms: int
    request_key: str
    customer: str
    sent_age: float
    age_seconds: float
    is_begun: bool = False
    is_late: bool = False


class TraitNotice(msgspec.Struct, frozen=True, array_like=True):
    """Notice of the `Evidence` of a trait.

    ``sound_age`` is the time in seconds since a request with the trait was
    last seen to do no harm, ``seen_age`` that since one was held back; None
    if that never happened.
    """

    ends: list[EndNotice]
    sound_age: float | None = None
    seen_age: float | None = None


class TraitNotices:
    """Collects what to tell about traits, and applies what others tell.

    Parameters
    ----------
    quarantine : Quarantine
        What this host knows.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, quarantine, now):
        self._quarantine = quarantine
        self._now = now
        # How often each trait was told since it changed.
        self._told = {}

    @property
    def changes(self):
        """Number of changes that others should be told of."""
        return self._quarantine.changes

    def known(self, is_large=False):
        """Return a `TraitNotice` by trait of what others should know.

        Parameters
        ----------
        is_large : bool, optional
            Whether the fleet is large, so that messages go to few or are
            read by many.
        """
        now = self._now()
        changed = {
            trait: evidence
            for trait, evidence in self._quarantine.items()
            if evidence.is_held or now - evidence.changed_at < NOTICE_SECONDS
        }
        self._told = {trait: self._told.get(trait, 0) for trait in changed}
        count = MAX_LARGE_FLEET_NOTICES if is_large else MAX_NOTICES
        chosen = sorted(changed, key=lambda t: self._rank(t, changed[t]))
        for trait in chosen[:count]:
            self._told[trait] += 1
        return {
            trait: self._make_notice(changed[trait], now)
            for trait in chosen[:count]
        }

    def _rank(self, trait, evidence):
        """Return the place of a trait among those that are told."""
        return (
            not evidence.is_held,
            not evidence.is_telling,
            self._told[trait],
            -evidence.changed_at,
        )

    def apply(self, notices):
        """Add the notices of a peer to the own evidence."""
        now = self._now()
        for trait, notice in notices.items():
            ends = [
                TargetEnd(
                    process=(end.target, end.born_ms),
                    request_key=end.request_key,
                    customer=end.customer,
                    sent_at=now - end.sent_age,
                    at=now - end.age_seconds,
                    is_begun=end.is_begun,
                    is_late=end.is_late,
                )
                for end in notice.ends
            ]
            self._quarantine.merge(
                trait,
                ends,
                _time_of(notice.sound_age, now),
                _time_of(notice.seen_age, now),
            )

    def _make_notice(self, evidence, now):
        ends = [
            EndNotice(
                *end.process,
                end.request_key,
                end.customer,
                round(now - end.sent_at, 3),
                round(now - end.at, 3),
                end.is_begun,
                end.is_late,
            )
            for end in evidence.ends.values()
        ]
        return TraitNotice(
            ends,
            _age_of(evidence.sound_at, now),
            _age_of(evidence.seen_at, now),
        )


def _age_of(at, now):
    return None if at == float("-inf") else round(now - at, 3)


def _time_of(age, now):
    return float("-inf") if age is None else now - age
