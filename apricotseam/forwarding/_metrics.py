"""Prometheus metrics of forwarded requests."""

import functools

import prometheus_client

from apricotseam.fleet import AnnouncementSource

MS_PER_SECOND = 1000.0
# Upper bounds of the latency buckets.
BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 20.0)
# The same for factors from 0.25 to 1.
BUCKETS_FACTOR = (0.25, 0.4, 0.55, 0.7, 0.85, 0.999, 1.0)


class RequestMetrics:
    """Request counters and latency histograms of one process.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry in which the metrics are registered.
    """

    def __init__(self, registry):
        counter = _registering(prometheus_client.Counter, registry)
        gauge = _registering(prometheus_client.Gauge, registry)
        histogram = _registering(prometheus_client.Histogram, registry)
        self.requests = counter(
            "apricotseam_requests",
            "Answered requests by kind of route and status.",
            ["kind", "status"],
        )
        self.sends = counter(
            "apricotseam_sends",
            "Sends to targets by outcome.",
            ["outcome"],
        )
        self.refusals = counter(
            "apricotseam_refusals",
            "Requests that were refused, by cause.",
            ["cause"],
        )
        self._leaving = counter(
            "apricotseam_targets_leaving",
            "Targets that started to leave, by source of the first word.",
            ["source"],
        )
        self.rests = counter(
            "apricotseam_target_rests",
            "Answers in which a target asked for a rest.",
        )
        self.invalid_rests = counter(
            "apricotseam_target_rests_invalid",
            "Answers in which a target asked for a rest unintelligibly.",
        )
        self.limited_answers = counter(
            "apricotseam_target_limits",
            "Answers in which a target stated the rate that it accepts.",
        )
        self.invalid_limits = counter(
            "apricotseam_target_limits_invalid",
            "Answers in which a target stated a rate unintelligibly.",
        )
        self.limited_sends = counter(
            "apricotseam_limited_sends",
            "Requests sent to targets that stated a rate, by attempt.",
            ["attempt"],
        )
        self.target_ends = counter(
            "apricotseam_target_ends",
            "Processes of targets that ended with requests in progress.",
        )
        self._held_traits = gauge(
            "apricotseam_quarantined_traits",
            "Traits of requests that are held back.",
        )
        self._dropped_traits = gauge(
            "apricotseam_quarantine_dropped_traits",
            "Traits whose evidence was dropped for want of room so far.",
        )
        self.relayed = counter(
            "apricotseam_relayed",
            "Requests passed on to other hosts, by outcome.",
            ["outcome"],
        )
        self._links_lost = gauge(
            "apricotseam_links_lost",
            "Services of which this host reaches no target.",
        )
        self._targets = gauge(
            "apricotseam_targets",
            "Known targets, those that are silent to this host, and those"
            " that it avoids for their silence to it or to other hosts.",
            ["state"],
        )
        self._incomplete = counter(
            "apricotseam_incomplete_answers",
            "Requests that this host left without a complete answer.",
            ["cause"],
        )
        self.first_byte = histogram(
            "apricotseam_first_byte_seconds",
            "Time from a request's first byte to its answer's.",
            ["kind"],
            buckets=BUCKETS_SECONDS,
        )
        self.duration = histogram(
            "apricotseam_request_seconds",
            "Time from a request's first byte to its answer's last.",
            ["kind"],
            buckets=BUCKETS_SECONDS,
        )
        self._start_estimate = histogram(
            "apricotseam_start_estimate_seconds",
            "Estimated time from a send to its first event.",
            buckets=BUCKETS_SECONDS,
        )
        self._start_error = histogram(
            "apricotseam_start_error_seconds",
            "Difference between that time and its estimate.",
            ["sign"],
            buckets=BUCKETS_SECONDS,
        )
        self._share_factor = histogram(
            "apricotseam_share_factor",
            "Factors of new requests by what they are due to, if room is"
            " shared fairly.",
            ["part"],
            buckets=BUCKETS_FACTOR,
        )
        self._paced_targets = gauge(
            "apricotseam_paced_targets",
            "Targets that are limited since they started or answered late.",
        )
        self.pace_changes = counter(
            "apricotseam_pace_changes",
            "Changes of the pace of targets, by cause.",
            ["cause"],
        )

    def record_share_factors(self, class_factor, customer_factor):
        """Record the factors of a request that arrived."""
        self._share_factor.labels("class").observe(class_factor)
        self._share_factor.labels("customer").observe(customer_factor)

    def record_start(self, estimated_ms, seconds):
        """Record the first event of a send whose start was estimated.

        Parameters
        ----------
        estimated_ms : float
            Estimated time from the send to its first event, in ms.
        seconds : float
            The time that it took.
        """
        estimated = estimated_ms / MS_PER_SECOND
        sign = "late" if seconds > estimated else "early"
        self._start_estimate.observe(estimated)
        self._start_error.labels(sign).observe(abs(seconds - estimated))

    def watch_quarantine(self, quarantine):
        """Show how many traits a `Quarantine` holds back."""
        self._held_traits.set_function(lambda: len(quarantine.held))
        self._dropped_traits.set_function(lambda: quarantine.dropped)

    def watch_fleet(self, fleet, now):
        """Show how many targets of a `Fleet` this host reaches.

        Parameters
        ----------
        fleet : Fleet
            The known targets.
        now : callable
            Returns monotonic time in seconds.
        """
        self._targets.labels("known").set_function(lambda: len(fleet))
        self._targets.labels("silent").set_function(
            lambda: sum(target.health.is_silent for target in fleet)
        )
        self._targets.labels("avoided").set_function(
            lambda: sum(target.health.is_suspect(now()) for target in fleet)
        )

    def watch_reach(self, reach):
        """Show whether a `TargetReach` has lost the links to targets."""
        self._links_lost.set_function(lambda: len(reach.lost_services))

    def watch_paces(self, paces):
        """Show how many targets a `PaceRecorder` finds paced."""
        self._paced_targets.set_function(paces.count_paced)

    def count_leaving(self, target):
        """Count a `Target` that started to leave."""
        source = (
            target.announcements.leaving_source or AnnouncementSource.STORE
        )
        self._leaving.labels(str(source)).inc()

    def count_incomplete(self, cause):
        """Count a request that this host left without a complete answer.

        Parameters
        ----------
        cause : EndCause
            Why its connection was closed.
        """
        self._incomplete.labels(str(cause)).inc()


def _registering(kind, registry):
    """Return a kind of metric whose instances register themselves."""
    return functools.partial(kind, registry=registry)
