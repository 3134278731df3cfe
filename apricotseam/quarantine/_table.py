"""Evidence by trait, with a bound for each customer and in total."""

import collections

# Traits with evidence, in total and of the requests of one customer.
MAX_TRAITS = 16384
MAX_CUSTOMER_TRAITS = 4096


class _CustomerTraits:
    """Traits of one customer, the oldest first.

    ``telling`` are those of which `Evidence.is_telling` holds.
    """

    __slots__ = ("others", "telling")

    def __init__(self):
        self.others = collections.OrderedDict()
        self.telling = collections.OrderedDict()

    def __len__(self):
        return len(self.others) + len(self.telling)


class EvidenceTable:
    """`Evidence` by trait.

    Traits are chosen by callers. A customer whose requests have many
    displaces its own, the least telling ones first. A trait counts for the
    customer whose request it was first seen in.
    """

    def __init__(self):
        self._evidence = {}
        self._customer_of = {}
        self._by_customer = {}

    def __len__(self):
        return len(self._evidence)

    def get(self, trait):
        """Return the evidence of a trait, or None."""
        return self._evidence.get(trait)

    def items(self):
        """Return pairs of a trait and its evidence."""
        return self._evidence.items()

    def add(self, trait, evidence):
        """Add evidence of a new trait.

        Returns
        -------
        list of tuple
            Traits that were dropped for want of room, with their evidence.
        """
        customer = min(evidence.customers, default="")
        self._evidence[trait] = evidence
        self._customer_of[trait] = customer
        traits = self._by_customer.setdefault(customer, _CustomerTraits())
        traits.others[trait] = None
        self.update(trait)
        if len(traits) > MAX_CUSTOMER_TRAITS:
            return [self._drop(traits)]
        if len(self._evidence) > MAX_TRAITS:
            return [self._drop(max(self._by_customer.values(), key=len))]
        return []

    def update(self, trait):
        """Take note of a change of the evidence of a trait."""
        evidence = self._evidence.get(trait)
        if evidence is None:
            # It was dropped as it was added.
            return
        if not evidence.is_telling:
            return
        traits = self._by_customer[self._customer_of[trait]]
        if traits.others.pop(trait, evidence) is None:
            traits.telling[trait] = None

    def remove(self, trait):
        """Remove and return the evidence of a trait."""
        customer = self._customer_of.pop(trait)
        traits = self._by_customer[customer]
        traits.others.pop(trait, None)
        traits.telling.pop(trait, None)
        if not len(traits):
            del self._by_customer[customer]
        return self._evidence.pop(trait)

    def _drop(self, traits):
        """Drop the least telling trait; none that is held, if possible."""
        candidates = traits.others or traits.telling
        free = (t for t in candidates if not self._evidence[t].is_held)
        trait = next(free, next(iter(candidates)))
        return trait, self.remove(trait)
