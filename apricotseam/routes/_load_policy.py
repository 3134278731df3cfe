"""Which decisions under load apply to a service."""

import enum

import msgspec

# Ratio of the slowest to the fastest declared read factor from which the
# kinds of a service count as uneven: a prompt then waits several times as
# long in one chain as in another.
UNEVEN_READ_RATIO = 4.0


class Switch(enum.StrEnum):
    """Whether a part is used; ``auto`` follows the configuration."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def resolve(self, is_needed):
        """Return whether the part is used.

        Parameters
        ----------
        is_needed : bool
            Whether the configuration calls for it.

        Examples
        --------
        >>> Switch.AUTO.resolve(True), Switch.OFF.resolve(True)
        (True, False)
        """
        return is_needed if self is Switch.AUTO else self is Switch.ON


class LoadFeatures(msgspec.Struct, frozen=True):
    """Parts that are used for the requests of one service."""

    start_estimates: bool = False
    fair_shares: bool = False
    pacing: bool = False


NO_FEATURES = LoadFeatures()


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the decisions under load.

    ``start_estimates`` admits requests by when their answers would begin,
    ``fair_shares`` divides scarce room between classes and customers,
    ``pacing`` limits what targets get that have just started or recovered.
    The last two need the first one.

    Examples
    --------
    >>> str(LoadPolicy(pacing=Switch.OFF).pacing)
    'off'
    """

    start_estimates: Switch = Switch.AUTO
    fair_shares: Switch = Switch.AUTO
    pacing: Switch = Switch.AUTO

    def features(self, table, service):
        """Return the `LoadFeatures` of a service.

        Parameters
        ----------
        table : RouteTable
            The configuration.
        service : Service
            One of its services.
        """
        if service.engine is None:
            return NO_FEATURES
        has_priorities = len(table.stream_priorities(service.name)) > 1
        has_uneven_kinds = _read_ratio(service.engine) >= UNEVEN_READ_RATIO
        if not self.start_estimates.resolve(
            has_priorities or has_uneven_kinds
        ):
            return NO_FEATURES
        return LoadFeatures(
            True,
            self.fair_shares.resolve(has_priorities),
            self.pacing.resolve(True),
        )


def _read_ratio(profile):
    """Return the ratio of the slowest to the fastest read factor."""
    factors = [kind.read_factor for kind in profile.kinds]
    if not factors or min(factors) <= 0:
        return 1.0
    return max(factors) / min(factors)
