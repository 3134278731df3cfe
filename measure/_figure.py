"""One measured figure and the bound that it has to meet."""

import msgspec


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """A measured value.

    ``bound`` is the required limit: an upper limit if ``is_upper``, else a
    lower limit. Figures without a bound are only reported.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    is_upper: bool = True

    @property
    def is_met(self):
        """Whether the value meets its bound; True without a bound.

        Examples
        --------
        >>> Figure(name="a", value=2.0, unit="s", bound=1.0).is_met
        False
        """
        if self.bound is None:
            return True
        if self.is_upper:
            return self.value <= self.bound
        return self.value >= self.bound
