"""Time until what is declared is what runs at all engines."""

import time

import msgspec

from apricotseam.config import Fencing
from apricotseam.external import EtcdService
from apricotseam.external import HttpModelEngine
from measure._figure import Figure
from measure._processes import System
from measure._scope import dump_scope
from measure._scope import synthetic_scope

WAIT_SECONDS = 60.0
POLL_SECONDS = 0.05
LOADS_PER_MINUTE = 6000.0


class Rollout:
    """Entry hosts and engines as processes, and their operators' file.

    Parameters
    ----------
    parameters : dict
        Hosts, chains, and the time that a load takes.
    fencing : Fencing
        Whether the file says that the engines check the number.
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
        """Start and wait until a host orders."""
        self._system.__enter__()
        self._wait(lambda: self.orderer() is not None)
        return self

    def __exit__(self, *_):
        """End everything."""
        self._system.close()

    def apply(self, version, without=None):
        """Put a file with another version into force."""
        self._model["serving"] = version
        name = next(n for n in self._system.hosts if n != without)
        address = self._system.settings[name].operators_address
        path = f"/v1/admin/scopes/{self._system.scope['scope']}"
        text = dump_scope(self._system.scope).encode()
        answer = self._system.call(address, "PUT", path, text, 30.0)
        if answer.status >= 300:
            raise RuntimeError(answer.body.decode())

    def orderer(self):
        """Return the name of the host that holds the lease, or None."""
        addresses = [self._system.addresses["key-value"]]
        service = EtcdService(self._system.client, addresses)
        scope = self._system.scope["scope"]
        found = service.get(
            f"/apricotseam/orders/{scope}/{self._group['name']}"
        )
        return found and msgspec.json.decode(found.value)["host"]

    def kill(self, name):
        """End the process of a host at once."""
        self._system.fault(name, "kill")

    def seconds_until(self, version, begun):
        """Return the seconds until all engines run a version."""
        self._wait(lambda: self._versions() == {version})
        return time.monotonic() - begun

    def _versions(self):
        return {
            self._engine.report(target["address"], None).version
            for target in self._group["targets"]
        }

    @staticmethod
    def _wait(condition):
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("what is declared does not come to run")
            time.sleep(POLL_SECONDS)


def run(parameters, variant, seed):
    """Change the version once with a live orderer and once without."""
    with Rollout(parameters, Fencing(variant)) as rollout:
        time.sleep(seed * parameters["shift_seconds"])
        begun = time.monotonic()
        rollout.apply("v2")
        change = rollout.seconds_until("v2", begun)
        orderer = rollout.orderer()
        begun = time.monotonic()
        rollout.kill(orderer)
        rollout.apply("v1", orderer)
        takeover = rollout.seconds_until("v1", begun)
    return [
        Figure(name="declared to running", value=change, unit="s"),
        Figure(
            name="declared to running after the orderer died",
            value=takeover,
            unit="s",
        ),
    ]
