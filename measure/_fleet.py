"""The size that the system is designed for."""

import pathlib

import msgspec
import yaml

FLEET = pathlib.Path(__file__).parent / "fleet.yaml"
SECONDS_PER_DAY = 86_400


class Control(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What one host may spend on control."""

    processor_percent: float
    megabytes: float
    kilobytes_per_second: float


class Fleet(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sizes and rates of the whole system at its peak.

    ``busy_share`` is how far a process may be used at the peak, as its
    Python code runs on one core.
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
    def host_requests(self):
        """Requests a second of one host."""
        return self.requests_per_second / self.hosts

    @property
    def host_tokens(self):
        """Tokens a second of one host."""
        return self.tokens_per_second / self.hosts

    @property
    def host_streams(self):
        """Answers under way on one host, at the slowest allowed pace."""
        return self.host_tokens * self.between_tokens_milliseconds / 1e3

    @property
    def member_changes_per_second(self):
        """Hosts that join or fail a second in the whole fleet."""
        changes = self.host_failures_per_day + self.host_restarts_per_day
        return changes / SECONDS_PER_DAY

    @property
    def changes_per_second(self):
        """Changes of the configuration a second."""
        return self.changes_per_day / SECONDS_PER_DAY


def load_fleet(path=FLEET):
    """Return the fleet of a file."""
    data = yaml.safe_load(path.read_text())
    return msgspec.convert(data, Fleet, strict=True)
