"""Dependencies and authentication of the callers' HTTP handlers."""

import hashlib

from apricotseam.errors import AuthenticationError
from apricotseam.errors import NotConfiguredError


class CallerContext:
    """Dependencies that the handlers of callers' requests share.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    http : HttpClient
        Client for calls to plain services.
    runner : ChainRunner
        Generates answers over chains of stages.
    snapshots : Snapshots
        Current configuration, target table and host members.
    admission : Admission
        Admission control; decides when a request may start.
    chooser : Chooser
        Selects a chain or target for each request.
    execution : Execution
        Runs requests that are not idempotent at most once.
    retries : RetryPolicy
        Retry budget and backoff.
    """

    __slots__ = (
        "admission",
        "chooser",
        "clock",
        "execution",
        "http",
        "retries",
        "runner",
        "settings",
        "snapshots",
    )

    def __init__(
        self,
        *,
        settings,
        clock,
        http,
        runner,
        snapshots,
        admission,
        chooser,
        execution,
        retries,
    ):
        self.settings = settings
        self.clock = clock
        self.http = http
        self.runner = runner
        self.snapshots = snapshots
        self.admission = admission
        self.chooser = chooser
        self.execution = execution
        self.retries = retries


class Caller:
    """An authenticated customer and the configuration that declares it.

    The request uses this configuration until it ends, even if another
    revision comes into force meanwhile.
    """

    __slots__ = ("configuration", "customer", "scope_file")

    def __init__(self, configuration, scope_file, customer):
        self.configuration = configuration
        self.scope_file = scope_file
        self.customer = customer


def authenticate(request, snapshots):
    """Return the `Caller` that the key of a request belongs to.

    Raises
    ------
    NotConfiguredError
        If this host has no configuration yet, or has lost contact with
        both the key-value service and all peers.
    AuthenticationError
        If the key is missing or unknown.
    """
    configuration = snapshots.configuration
    if configuration is None:
        raise NotConfiguredError(
            "this host has no configuration yet",
            "try another address",
            retry_after=1,
        )
    if getattr(snapshots, "is_isolated", False):
        raise NotConfiguredError(
            "this host can reach neither the key-value service nor any peer",
            "try another address",
            retry_after=1,
        )
    scope_file_and_customer = configuration.find_customer(
        hash_key(bearer_key(request))
    )
    if scope_file_and_customer is None:
        raise AuthenticationError(
            "the API key is unknown",
            "send the key that your operator gave you",
        )
    caller = Caller(configuration, *scope_file_and_customer)
    if request.record is not None:
        request.record.revision = configuration.revision
        request.record.scope = caller.scope_file.scope
        request.record.customer = caller.customer.name
    return caller


def bearer_key(request):
    """Return the key of the ``Authorization: Bearer`` header.

    Raises
    ------
    AuthenticationError
        If the header is missing or not of that form.
    """
    value = request.header("Authorization", "")
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise AuthenticationError(
            "the request has no API key",
            "send the header `Authorization: Bearer KEY`",
        )
    return key.strip()


def hash_key(key):
    """Return the SHA-256 digest of a key in hexadecimal.

    Examples
    --------
    >>> hash_key("secret")[:8]
    '2bb80d53'
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
