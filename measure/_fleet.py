"""Size of the system and rates that it is designed for."""

import pathlib

import msgspec
import yaml

FLEET_FILE = pathlib.Path(__file__).parent / "fleet.yaml"
SECONDS_PER_DAY = 86_400


class Control(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Budget of one host for its control work.

    Processor time is in percent of one core; ``kilobytes_per_second`` is
    the rate of the bytes sent.
    """

    processor_percent: float
    megabytes: float
    kilobytes_per_second: float


class Fleet(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sizes and rates of the whole system at its peak.

    ``between_tokens_milliseconds`` is the longest allowed time between the
    tokens of an answer, ``stages`` the number of stages of a chain, and
    ``idempotent_share`` the fraction of requests that are idempotent.

    ``busy_share`` is the highest planned utilization of a process at the
    peak, as a fraction of one core, since the Python code of a process runs
    on one core only.

    The sum of ``address_valid_seconds`` and ``record_seconds`` is the time
    that a host keeps the record of a call that is not idempotent.
    """

    hosts: int
    targets: int
    requests_per_second: float
    tokens_per_second: float
    between_tokens_milliseconds: float
    customers: int
    changes_per_day: float
    host_failures_per_day: float
    host_restarts_per_day: float
    availability_zones: int
    stages: int
    idempotent_share: float
    address_valid_seconds: float
    record_seconds: float
    busy_share: float
    key_value_reads_per_second: float
    key_value_writes_per_second: float
    control: Control

    @property
    def host_requests_per_second(self):
        """Requests per second at one host."""
        return self.requests_per_second / self.hosts

    @property
    def host_tokens_per_second(self):
        """Tokens per second at one host."""
        return self.tokens_per_second / self.hosts

    @property
    def host_streams(self):
        """Answers in progress at one host.

        Assumes the longest allowed time between the tokens of an answer.
        """
        return (
            self.host_tokens_per_second
            * self.between_tokens_milliseconds
            / 1e3
        )

    @property
    def member_changes_per_second(self):
        """Hosts of the whole fleet that restart or fail, per second."""
        changes = self.host_failures_per_day + self.host_restarts_per_day
        return changes / SECONDS_PER_DAY

    @property
    def changes_per_second(self):
        """Configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY


def load_fleet(path=FLEET_FILE):
    """Return the `Fleet` that a YAML file describes."""
    data = yaml.safe_load(path.read_text())
    return msgspec.convert(data, Fleet, strict=True)
