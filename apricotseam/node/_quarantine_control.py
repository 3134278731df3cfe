"""Shows operators what is held back, and releases it on their request."""

import urllib.parse

import msgspec

QUARANTINE_PATH = "/quarantine"
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class HeldEnd(msgspec.Struct, frozen=True):
    """End of a target that speaks against a trait."""

    target: str
    request_key: str
    age_seconds: float


class HeldTrait(msgspec.Struct, frozen=True):
    """Trait that is held back, for operators.

    ``trial_in_seconds`` is None if no trial will be made.
    """

    trait: str
    customers: list[str]
    ends: list[HeldEnd]
    trial_in_seconds: float | None


class QuarantineControl:
    """Endpoint for operators.

    ``GET /quarantine`` lists the traits that are held back,
    ``POST /quarantine?trait=...`` releases one.

    Parameters
    ----------
    quarantine : Quarantine
        What this host knows; a release is told to the others.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, quarantine, now):
        self._quarantine = quarantine
        self._now = now

    def accepts(self, request):
        """Return whether a request is for this endpoint."""
        return request.path == QUARANTINE_PATH

    def handle(self, request, exchange):
        """Answer a request of an operator."""
        if request.method == b"POST":
            query = request.target.partition(b"?")[2].decode("latin-1")
            traits = urllib.parse.parse_qs(query).get("trait", [])
            released = [t for t in traits if self._quarantine.release(t)]
            exchange.answer(200 if released else 404)
            return
        body = msgspec.json.encode(self.held())
        exchange.answer(200, body, JSON_HEADERS)

    def held(self):
        """Return a `HeldTrait` of each trait that is held back."""
        now = self._now()
        return [
            HeldTrait(
                trait=trait,
                customers=sorted(evidence.customers),
                ends=[
                    HeldEnd(
                        end.process[0],
                        end.request_key,
                        round(now - end.at, 3),
                    )
                    for end in evidence.ends.values()
                ],
                trial_in_seconds=self._trial_in(trait, evidence, now),
            )
            for trait, evidence in self._quarantine.held.items()
        ]

    def _trial_in(self, trait, evidence, now):
        customer = next(iter(evidence.customers))
        trial_at = self._quarantine.find_hold([trait], customer).trial_at
        return None if trial_at is None else round(max(0, trial_at - now), 3)
