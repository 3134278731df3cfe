"""Counts the requests that share room, by class and customer."""

from apricotseam.chains import tokens_to_read


class ShareCounter:
    """Counts requests in the `DemandMeter` of this host.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context

    def open(self, call):
        """Count a call that arrived; return its `CountedCall`.

        One that another host has passed on was counted there.
        """
        context = self._context
        milliseconds = context.starts.model_of(call.service).demand_ms(
            tokens_to_read(
                call.metadata.prompt_tokens or 0, 0, call.service.engine
            )
        )
        key = call.demand_key
        if not call.is_relayed:
            context.demand.record_arrival(key, milliseconds)
            context.metrics.record_share_factors(
                context.share_rules.class_factor(key),
                context.share_rules.customer_factor(key),
            )
        return CountedCall(context.demand, key, milliseconds)


class CountedCall:
    """One call in the counts, from its arrival to its end.

    Parameters
    ----------
    meter : DemandMeter
        Counts it.
    key : DemandKey
        Its customer and class.
    milliseconds : float
        Its start work.
    """

    __slots__ = ("_is_begun", "_key", "_meter", "_milliseconds")

    def __init__(self, meter, key, milliseconds):
        self._meter = meter
        self._key = key
        self._milliseconds = milliseconds
        self._is_begun = False

    def begin(self):
        """Count the call as in progress; again it does nothing."""
        if not self._is_begun:
            self._is_begun = True
            self._meter.record_begin(self._key, self._milliseconds)

    def close(self):
        """Count the call as ended."""
        if self._is_begun:
            self._is_begun = False
            self._meter.record_end(self._key, self._milliseconds)
