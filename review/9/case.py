"""A server leaves shortly after a host was cut off from the store."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

SERVERS = 3
# `ContactMs` and `DrainMs` of the sheet, in seconds.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CUT_SECONDS = 4.5
# From the end of the cut to the leaving of a server. `DRAIN_SECONDS` later the
# host has been in touch again for a while.
LEAVE_SECONDS = 1.2
# A server that leaves serves for `DRAIN_SECONDS` and a little longer.
EXIT_SECONDS = DRAIN_SECONDS + 0.1
# Clients pause from before the leaving until this long after it.
PAUSE_END_SECONDS = DRAIN_SECONDS + 0.02
BURST_REQUESTS = 30
REQUEST_PERIOD_SECONDS = 0.01
WORK_SECONDS = 0.09
DEADLINE_SECONDS = 3.0


class Traffic:
    """Clients of one host that send unsafe requests."""

    def __init__(self, deployment, host):
        self._deployment = deployment
        self._host = host
        self._number = 0
        self.sent_at = {}
        self.outcomes = {}

    async def run(self, until):
        """Send requests until a monotonic time; return when all ended."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                group.create_task(self._send(f"r{self._number:05d}"))
                self._number += 1
                await asyncio.sleep(REQUEST_PERIOD_SECONDS)

    async def run_burst(self, count):
        """Send requests at once; return when all ended."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._send(f"r{self._number:05d}"))
                self._number += 1

    async def _send(self, request_id):
        self.sent_at[request_id] = time.monotonic()
        self._deployment.record.add("sent", id=request_id)
        try:
            status, _, _ = await harness.exchange(
                self._host.callers_address,
                "POST",
                "/page/x",
                harness.request_headers(request_id, DEADLINE_SECONDS),
                DEADLINE_SECONDS + 1.0,
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = repr(error)
        self.outcomes[request_id] = status
        self._deployment.record.add("answered", id=request_id, status=status)


async def disturb(deployment):
    """Cut the first host off from the store for a while."""
    deployment.record.add("store_cut", host=deployment.hosts[0].name)
    deployment.store_link.cut()
    await asyncio.sleep(CUT_SECONDS)
    deployment.store_link.heal()
    deployment.record.add("store_healed", host=deployment.hosts[0].name)


def find_breaks(deployment, traffic, leaving, left_at, healed_at):
    """Return the requests that reached a server too late."""
    found = []
    for line in leaving.said("run"):
        request_id = line["id"]
        late = line["at"] - left_at - DRAIN_SECONDS
        in_touch = line["at"] >= healed_at + CONTACT_SECONDS
        sent_late = traffic.sent_at[request_id] >= left_at + DRAIN_SECONDS
        if late > 0 and in_touch and sent_late:
            found.append(
                f"{request_id} reached {leaving.identity}"
                f" {late * 1000:.0f} ms too late, its client got"
                f" {traffic.outcomes.get(request_id)}"
            )
    return found


async def case(record):
    """Return how DRAIN was broken."""
    deployment = harness.Deployment(
        record,
        harness.make_configuration(
            [harness.route("/page/", "unsafe", "desk", MaxAttempts=1)],
            [{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 110}],
        ),
    )
    servers = [
        harness.ServerProcess(
            f"i-{n:04d}",
            f"{harness.loopback_ip()}:8120",
            "desk",
            pause=WORK_SECONDS,
        )
        for n in range(SERVERS)
    ]
    leaving = servers[0]
    try:
        await deployment.start(servers)
        traffic = Traffic(deployment, deployment.hosts[0])
        await asyncio.sleep(1.0)
        if harness.has_trouble():
            await disturb(deployment)
        healed_at = time.monotonic()
        leave_at = healed_at + LEAVE_SECONDS
        await traffic.run(leave_at - 0.2)
        await asyncio.sleep(leave_at - time.monotonic())
        left_at = deployment.leave(leaving)
        await asyncio.sleep(PAUSE_END_SECONDS)
        sending = asyncio.create_task(traffic.run_burst(BURST_REQUESTS))
        await asyncio.sleep(EXIT_SECONDS - PAUSE_END_SECONDS)
        await leaving.kill()
        record.add("exited", id=leaving.identity)
        await sending
        deployment.record_runs()
        found = find_breaks(deployment, traffic, leaving, left_at, healed_at)
    finally:
        await deployment.stop()
    if list(traffic.outcomes.values()).count(200) < 100:
        raise harness.CannotRunError("too few requests were served")
    return found


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, case))
