"""What the callers' calls need, gathered in one place."""

import hashlib

from apricotseam.errors import AuthenticationError
from apricotseam.errors import NotConfiguredError


class CallerContext:
    """Parts of the request path.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    http : HttpClient
        Client towards plain services.
    runner : ChainRunner
        Runs answers over chains.
    snapshots : Snapshots
        Configuration, targets and members in force.
    admission : Admission
        Decides when a request may start.
    chooser : Chooser
        Chooses chains and targets.
    execution : Execution
        Runs requests at most once.
    retries : RetryPolicy
        Budget of further attempts.
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
    """An authenticated customer, pinned to one configuration."""

    __slots__ = ("configuration", "customer", "scope_file")

    def __init__(self, configuration, scope_file, customer):
        self.configuration = configuration
        self.scope_file = scope_file
        self.customer = customer


def authenticate(request, snapshots):
    """Return the `Caller` of a request.

    Raises
    ------
    NotConfiguredError
        If no configuration is in force on this host yet.
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
            "this host hears neither the key-value service nor any peer",
            "try another address",
            retry_after=1,
        )
    found = configuration.find_customer(hash_key(bearer_key(request)))
    if found is None:
        raise AuthenticationError(
            "the key is not known", "send the key that your operator gave you"
        )
    caller = Caller(configuration, *found)
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
        If there is none.
    """
    value = request.header("Authorization", "")
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise AuthenticationError(
            "no key was sent", "send the header `Authorization: Bearer KEY`"
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
