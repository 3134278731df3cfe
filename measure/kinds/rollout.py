"""Time from the change of a model version until all engines run it."""

import time

import msgspec

from apricotseam.config import Fencing
from apricotseam.external import EtcdService
from apricotseam.external import HttpModelEngine
from measure._figure import Figure
from measure._processes import System
from measure._scope import dump_scope
from measure._scope import synthetic_scope

WAIT_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.05
LOADS_PER_MINUTE = 6000.0


class Rollout:
    """Entry hosts and engines as processes, and their scope file.

    Parameters
    ----------
    parameters : dict
        Number of ``hosts`` and ``chains``, and ``load_seconds``, the time
        that an engine takes to load a version.
    fencing : Fencing
        Value in the scope file: whether the engines check or ignore the
        fencing token of an order.
    """

    def __init__(self, parameters, fencing):
        scope = synthetic_scope(chains=parameters["chains"], stages=2)
        scope["models"][0]["versions"] = ["v1", "v2"]
        scope["groups"][0]["fencing"] = fencing.value
        scope["weight_store"] = {"loads_per_minute": LOADS_PER_MINUTE}
        self._group = scope["groups"][0]
        self._model = scope["models"][0]
        self._system = System(
            scope,
            parameters["hosts"],
            engine={
                "load_seconds": parameters["load_seconds"],
                "checks_fencing": fencing is Fencing.CHECKED,
            },
        )
        self._engine = HttpModelEngine(self._system.client)

    def __enter__(self):
        """Start all processes and wait until one host holds the lease."""
        self._system.__enter__()
        self._wait(lambda: self.orderer() is not None)
        return self

    def __exit__(self, *_):
        """End all processes."""
        self._system.close()

    def apply(self, version, excluded_host=None):
        """Apply a scope file that declares another version.

        Parameters
        ----------
        version : str
            Version that the engines are to run.
        excluded_host : str, optional
            Host that is not to be called.
        """
        self._model["serving"] = version
        name = next(n for n in self._system.hosts if n != excluded_host)
        address = self._system.settings[name].operators_address
        path = f"/v1/admin/scopes/{self._system.scope['scope']}"
        text = dump_scope(self._system.scope).encode()
        answer = self._system.call(address, "PUT", path, text, 30.0)
        if answer.status >= 300:
            raise RuntimeError(answer.body.decode())

    def orderer(self):
        """Return the host that holds the lease for orders, or None."""
        addresses = [self._system.addresses["key-value"]]
        service = EtcdService(self._system.client, addresses)
        scope = self._system.scope["scope"]
        found = service.get(
            f"/apricotseam/orders/{scope}/{self._group['name']}"
        )
        return found and msgspec.json.decode(found.value)["host"]

    def kill(self, name):
        """Kill the process of a host."""
        self._system.inject_fault(name, "kill")

    def seconds_until(self, version, started):
        """Wait until all engines run a version; return seconds from start."""
        self._wait(lambda: self._versions() == {version})
        return time.monotonic() - started

    def _versions(self):
        return {
            self._engine.report(target["address"], None).version
            for target in self._group["targets"]
        }

    @staticmethod
    def _wait(condition):
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    "the expected state was not reached in time"
                )
            time.sleep(POLL_SECONDS)


def run(parameters, variant, seed):
    """Change the version twice: normally, and after killing the orderer.

    The orderer is the host that holds the lease and sends load orders to
    the engines. ``variant`` is the value of `Fencing`; ``seed`` shifts the
    start of the change by a multiple of ``shift_seconds``.
    """
    with Rollout(parameters, Fencing(variant)) as rollout:
        time.sleep(seed * parameters["shift_seconds"])
        started = time.monotonic()
        rollout.apply("v2")
        change_seconds = rollout.seconds_until("v2", started)
        orderer = rollout.orderer()
        started = time.monotonic()
        rollout.kill(orderer)
        rollout.apply("v1", orderer)
        takeover_seconds = rollout.seconds_until("v1", started)
    return [
        Figure(name="declared to running", value=change_seconds, unit="s"),
        Figure(
            name="declared to running after the orderer died",
            value=takeover_seconds,
            unit="s",
        ),
    ]
