"""Era and revision of the store as one ordered number."""

# Revisions below 2**40 last for 87 years at 400 changes per second, and
# positions of up to 8191 eras fit in the integers that JSON keeps exact.
REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << (53 - REVISION_BITS)) - 1


class Position(int):
    """Place in the history of the store: its era and its revision.

    The era rises each time that the store goes back to an earlier state and
    gives out the same revisions again. A position of a later era is
    therefore higher than all positions of earlier ones. As in ZooKeeper's
    transaction ids, the era forms the high bits of the number. In era 0 a
    position equals its revision.

    Examples
    --------
    >>> Position.of(1, 5) > Position.of(0, 90)
    True
    >>> Position.of(1, 5)
    Position.of(1, 5)
    >>> Position(7).era, Position(7).revision
    (0, 7)
    """

    __slots__ = ()

    @property
    def era(self):
        """Number of times that the store had gone back."""
        return self >> REVISION_BITS

    @property
    def revision(self):
        """Revision within the era, 0 if nothing is known of it."""
        return self & MAX_REVISION

    @classmethod
    def of(cls, era, revision):
        """Return the position of a revision in an era.

        Raises
        ------
        ValueError
            If either is out of range.
        """
        if not (0 <= era <= MAX_ERA and 0 <= revision <= MAX_REVISION):
            raise ValueError(
                f"era {era} and revision {revision} are not in the range up to"
                f" era {MAX_ERA} and revision {MAX_REVISION}; check the store"
            )
        return cls(era << REVISION_BITS | revision)

    def __repr__(self):
        return f"Position.of({self.era}, {self.revision})"

    def __str__(self):
        return f"{self.era}:{self.revision}"


NO_POSITION = Position(0)


def encode_hook(value):
    """Return the number that stands for a position in a message.

    It is the ``enc_hook`` of `msgspec` encoders.
    """
    if isinstance(value, Position):
        return int(value)
    raise NotImplementedError(f"messages cannot contain {type(value)}")


def decode_hook(kind, value):
    """Return the position for which a number in a message stands.

    It is the ``dec_hook`` of `msgspec` decoders.
    """
    if kind is not Position:
        raise NotImplementedError(f"messages cannot contain {kind}")
    if not isinstance(value, int) or value < 0:
        raise ValueError(f"position is {value!r}, expected an integer")
    return Position(value)
