"""Targets that leave or ask for a rest, through complete nodes."""

import asyncio

import pytest

from apricotseam.fleet import AnnouncementSource
from apricotseam.node.tests.harness import run
from apricotseam.platform import ORDER_PATH
from apricotseam.positions import Position

COMPLETE_BODY = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)
)
LOAD = 30


def received(target):
    """Return the number of requests that a target got so far."""
    return len(target.requests)


def used(platform, target):
    """Return the number of requests that a target got, in whatever part."""
    address = target.address
    chains = [
        request.header(b"apricotseam-hop-count")
        for head in platform.engine_targets
        for request in head.requests
    ]
    return received(target) + sum(
        address in chain.partition(",")[2] for chain in chains
    )


def known(platform, target, host_index=0):
    """Return what a host knows of a target."""
    return platform.nodes[host_index].forwarding.fleet.get(target.identity)


def takes_requests(platform, target, host_index=0):
    """Return whether a host may send requests to a target."""
    return known(platform, target, host_index).accepts_requests


async def send_load(platform, path, count=LOAD, **options):
    """Send requests, some at once; return the answers' status codes."""
    statuses = []
    for _ in range(count // 6):
        answers = await asyncio.gather(
            *(platform.send_request(path, **options) for _ in range(6))
        )
        statuses += [status for status, _, _ in answers]
    return statuses


async def send_until_left(platform, path, target):
    """Send requests until an answer said that the target leaves."""
    for _ in range(LOAD):
        if not takes_requests(platform, target):
            return
        await platform.send_request(path)
    assert not takes_requests(platform, target)


async def request_plain(platform):
    """Let a plain target say it in an answer to a request."""
    target = platform.plain_targets[0]
    target.is_leaving = True
    await send_until_left(platform, "/read/x", target)
    return target, "/read/x"


async def request_refused(platform):
    """Let a plain target say it in a refusal."""
    target = platform.plain_targets[0]
    target.is_leaving = True
    target.behaviour = "shed"
    await send_until_left(platform, "/read/x", target)
    return target, "/read/x"


async def request_failed(platform):
    """Let a plain target say it in a failure."""
    target = platform.plain_targets[0]
    target.is_leaving = True
    target.behaviour = "error"
    await send_until_left(platform, "/read/x", target)
    return target, "/read/x"


async def request_stream(platform):
    """Let the head of a chain say it in the head of its answer."""
    target = platform.engine_targets[0]
    target.is_leaving = True
    await send_until_left(platform, "/chat/x", target)
    return target, "/chat/x"


async def request_plain_stream(platform):
    """Let a plain target say it in the head of a stream."""
    target = platform.plain_targets[0]
    target.is_leaving = True
    await send_until_left(platform, "/feed/x", target)
    return target, "/feed/x"


async def probe(platform):
    """Let a worker of chains say it in a report."""
    target = platform.engine_targets[1]
    target.is_leaving = True
    prober = platform.nodes[0].forwarding.prober
    assert not await prober.find_unresponsive([known(platform, target)])
    return target, "/chat/x"


async def order(platform):
    """Let a worker of chains say it in the answer to an order."""
    target = platform.engine_targets[1]
    target.is_leaving = True
    placer = platform.nodes[0]._placer
    await placer._call(
        known(platform, target),
        b"POST",
        ORDER_PATH,
        b'{"Op": "place", "From": 2, "Target": 4}',
    )
    return target, "/chat/x"


# Each lets a target say that it leaves in one kind of answer, and returns
# the target and a path whose requests it could serve.
ANSWERS = [
    request_plain,
    request_refused,
    request_failed,
    request_stream,
    request_plain_stream,
    probe,
    order,
]


@pytest.mark.parametrize("say", ANSWERS, ids=[f.__name__ for f in ANSWERS])
@pytest.mark.parametrize("has_store", [True, False], ids=["store", "no-store"])
def test_nothing_is_sent_to_a_target_that_said_it_leaves(say, has_store):
    async def scenario(platform):
        if not has_store:
            platform.store.refused.update(platform.store_addresses)
        target, path = await say(platform)
        before = used(platform, target)
        statuses = await send_load(platform, path)
        return used(platform, target) - before, set(statuses)

    assert run(scenario, engine_targets=4) == (0, {200})


@pytest.mark.parametrize("path", ["/read/x", "/feed/x", "/chat/x"])
def test_load_under_way_leaves_a_target_at_once(path):
    """Requests of many callers are under way as the target says it."""

    async def scenario(platform):
        targets = [*platform.engine_targets, *platform.plain_targets]
        target = platform.engine_targets[0]
        if path != "/chat/x":
            target = platform.plain_targets[0]
        for other in targets:
            other.event_seconds = 0.01
        load = [
            asyncio.create_task(send_load(platform, path, 60))
            for _ in range(1 if path == "/chat/x" else 3)
        ]
        await asyncio.sleep(0.1)
        target.is_leaving = True
        await platform.wait_until(lambda: not takes_requests(platform, target))
        left_at = asyncio.get_running_loop().time()
        statuses = [
            s for answers in await asyncio.gather(*load) for s in answers
        ]
        # A request that was sent before may be on its way still.
        late = [r for r in target.requests if r.received_at > left_at + 0.05]
        return len(late), set(statuses)

    assert run(scenario, engine_targets=4) == (0, {200})


# Path, what happens to the chosen target while its connection is opened.
HALF_OPEN = [
    (path, happen)
    for path in ("/read/x", "/once/x", "/feed/x", "/chat/x")
    for happen in ("leaves", "rests")
]


@pytest.mark.parametrize(("path", "happen"), HALF_OPEN)
def test_request_is_not_sent_on_a_connection_that_was_half_open(path, happen):
    """Another target gets it, and it doesn't count as a retry."""

    async def scenario(platform):
        node = platform.nodes[0]
        context = node.forwarding
        acquire = context.pool.acquire
        chosen = []

        async def acquire_late(key, *arguments):
            connection = await acquire(key, *arguments)
            if not chosen:
                chosen.append(key)
                now = asyncio.get_running_loop().time()
                if happen == "leaves":
                    source = AnnouncementSource.PEER
                    context.fleet.record_leaving(key, source, now)
                else:
                    context.fleet.record_rest(key, 60.0, now)
            return connection

        context.pool.acquire = acquire_late
        status, _, _ = await platform.send_request(path)
        targets = [*platform.engine_targets, *platform.plain_targets]
        (left,) = [t for t in targets if t.identity == chosen[0][0]]
        counts = context.retry_budget.own_counts(0.0).values()
        repeats = sum(count.repeats for count in counts)
        return status, received(left), sum(map(received, targets)), repeats

    assert run(scenario, engine_targets=4) == (200, 0, 1, 0)


def test_stream_of_a_target_that_leaves_ends_in_peace():
    async def scenario(platform):
        target = platform.plain_targets[0]
        other = platform.plain_targets[1]
        other.behaviour = "shed"
        target.event_seconds = 0.1
        task = asyncio.create_task(platform.send_request("/feed/x"))
        await platform.wait_until(lambda: target.requests)
        target.is_leaving = True
        await platform.send_request("/read/x")
        assert not takes_requests(platform, target)
        status, _, body = await task
        return status, body, received(target)

    assert run(scenario) == (200, COMPLETE_BODY, 2)


def test_stream_is_moved_off_a_worker_that_says_it_leaves():
    async def scenario(platform):
        head = platform.engine_targets[0]
        head.stalls_after = 2
        task = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: head.requests)
        chain = head.requests[0].header(b"apricotseam-hop-count")
        _, first, _, second = platform.engine_targets
        worker, spare = first, second
        if second.address in chain:
            worker, spare = second, first
        worker.is_leaving = True
        prober = platform.nodes[0].forwarding.prober
        await prober.find_unresponsive([known(platform, worker)])
        status, _, body = await task
        paths = [o["Path"] for o in head.orders if o["Op"] == "repath"]
        expected = f"{head.address}=0-2,{spare.address}=2-4"
        return status, body, paths == [expected]

    found = run(scenario, engine_targets=4)
    assert found == (200, COMPLETE_BODY, True)


# Description, what the store says after the target said that it leaves,
# whether the target then gets requests.
STORE_WORDS = [
    ("its old entry", lambda p, t: p.register(t), False),
    ("its entry is lost and back", lambda p, t: relist(p, t), False),
    ("draining, then ready", lambda p, t: toggle(p, t), False),
    ("a new process", lambda p, t: start_again(p, t), True),
]


def relist(platform, target):
    """Delete the entry of a target and write it again."""
    platform.store.remove(target)
    platform.register(target)


def toggle(platform, target):
    """Write that a target drains, and then that it is ready."""
    platform.register(target, state="draining")
    platform.register(target)


def start_again(platform, target):
    """Start a new process with the same name and address."""
    target.restart()
    platform.register(target)


@pytest.mark.parametrize(
    ("write", "expected"),
    [case[1:] for case in STORE_WORDS],
    ids=[case[0] for case in STORE_WORDS],
)
def test_word_of_the_store_takes_nothing_back(write, expected):
    async def scenario(platform):
        target, path = await request_plain(platform)
        before = received(target)
        write(platform, target)
        store = platform.store
        position = Position.of(store.era, store.revision)
        fleet = platform.nodes[0].forwarding.fleet
        await platform.wait_until(
            lambda: (
                (found := fleet.get(target.identity)) is not None
                and found.record.position == position
            )
        )
        await send_load(platform, path)
        return received(target) > before

    assert run(scenario) is expected


def test_peers_hear_that_a_target_leaves():
    async def scenario(platform):
        target, path = await request_plain(platform)
        heard = known(platform, target, 1)
        await platform.wait_until(lambda: not heard.accepts_requests)
        before = received(target)
        statuses = await send_load(platform, path, host_index=1)
        counts = [
            node._registry.get_sample_value(
                "apricotseam_targets_leaving_total", {"source": source}
            )
            for node, source in zip(platform.nodes, ("own answer", "peer"))
        ]
        return received(target) - before, set(statuses), counts

    assert run(scenario, hosts=2) == (0, {200}, [1.0, 1.0])


# Description, path, index of the resting target, whether it is an engine.
RESTING = [
    ("plain, idempotent", "/read/x", 0, False),
    ("plain, at most once", "/once/x", 0, False),
    ("plain stream", "/feed/x", 1, False),
    ("head of chains", "/chat/x", 0, True),
]


@pytest.mark.parametrize(
    ("path", "index", "is_engine"),
    [case[1:] for case in RESTING],
    ids=[case[0] for case in RESTING],
)
def test_resting_target_gets_nothing_until_its_end(path, index, is_engine):
    async def scenario(platform):
        targets = platform.plain_targets
        if is_engine:
            targets = platform.engine_targets
        target = targets[index]
        loop = asyncio.get_running_loop()
        target.rest(0.8)
        ends_at = loop.time() + 0.8
        found = known(platform, target)
        await send_load(platform, path, 6)
        assert found.is_resting(loop.time())
        before = received(target)
        statuses = []
        while loop.time() < ends_at - 0.3:
            statuses += await send_load(platform, path, 12)
        late = received(target) - before
        await asyncio.sleep(max(0.0, ends_at + 0.1 - loop.time()))
        before = received(target)
        # More at once than the other target has slots for.
        loads = [send_load(platform, path), send_load(platform, path)]
        statuses += sum(await asyncio.gather(*loads), [])
        return late, set(statuses), received(target) > before

    assert run(scenario, engine_targets=4) == (0, {200}, True)


@pytest.mark.parametrize("path", ["/read/x", "/feed/x", "/chat/x"])
def test_burst_onto_a_resting_target_ends_with_the_first_refusal(path):
    """Requests already on their way may arrive, none later."""

    async def scenario(platform):
        loop = asyncio.get_running_loop()
        target = platform.engine_targets[0]
        if path != "/chat/x":
            target = platform.plain_targets[0]
        load = [
            asyncio.create_task(send_load(platform, path, 120))
            for _ in range(3)
        ]
        await asyncio.sleep(0.1)
        target.rest(1.5)
        found = known(platform, target)
        await platform.wait_until(lambda: found.is_resting(loop.time()))
        rests_from = loop.time()
        await asyncio.gather(*load)
        return [
            request
            for request in target.requests
            if rests_from + 0.1 < request.received_at < rests_from + 1.3
        ]

    assert run(scenario, engine_targets=4) == []


@pytest.mark.parametrize("path", ["/read/x", "/once/x", "/feed/x", "/chat/x"])
def test_caller_is_refused_at_once_with_the_first_end(path):
    """Guards against waits for targets that said when they return."""

    async def scenario(platform):
        loop = asyncio.get_running_loop()
        rests = [30.0, 20.0]
        targets = platform.engine_targets
        if path != "/chat/x":
            targets = platform.plain_targets
        for target, seconds in zip(targets, rests):
            target.rest(seconds)
            found = known(platform, target)
            fleet = platform.nodes[0].forwarding.fleet
            fleet.record_rest(found.incarnation, seconds, loop.time())
        before = sum(map(received, targets))
        started_at = loop.time()
        answers = await asyncio.gather(
            *(platform.send_request(path) for _ in range(12))
        )
        seconds = loop.time() - started_at
        delays = [float(a.header(b"retry-after")) for _, a, _ in answers]
        statuses = {status for status, _, _ in answers}
        sent = sum(map(received, targets)) - before
        return seconds, delays, statuses, sent

    seconds, delays, statuses, sent = run(scenario)
    assert statuses == {503} and sent == 0
    # Both halves of a chain are needed, of plain targets any one.
    first = 30.0 if path == "/chat/x" else 20.0
    assert first - 1.0 <= min(delays) and max(delays) <= 1.25 * first + 0.3
    assert len(set(delays)) > 6
    assert seconds < 1.0


# Description, values of Retry-After, least and most requests that the only
# target gets in ten attempts one after the other.
VALUES = [
    ("whole seconds", [b"60"], 1, 1),
    ("fraction", [b"59.5"], 1, 1),
    ("very large", [b"9" * 400], 1, 1),
    ("twice", [b"0.001", b"60"], 1, 1),
    ("negative", [b"-60"], 10, 10),
    ("not a number", [b"nan"], 10, 10),
    ("word", [b"later"], 10, 10),
    ("empty", [b""], 10, 10),
    ("zero", [b"0"], 10, 10),
]


@pytest.mark.parametrize(
    ("values", "least", "most"),
    [case[1:] for case in VALUES],
    ids=[case[0] for case in VALUES],
)
def test_values_of_a_rest(values, least, most):
    async def scenario(platform):
        target = platform.plain_targets[0]
        target.rest(60.0, *values)
        statuses = set()
        for _ in range(10):
            status, _, _ = await platform.send_request("/read/x")
            statuses.add(status)
        return statuses, received(target)

    statuses, count = run(scenario, plain_targets=1)
    assert statuses == {503}
    assert least <= count <= most


def test_new_process_of_a_resting_target_starts_clean():
    async def scenario(platform):
        target = platform.plain_targets[0]
        target.rest(60.0)
        await platform.send_request("/read/x")
        start_again(platform, target)
        await platform.wait_until(
            lambda: known(platform, target).record.born_ms == 2
        )
        status, _, _ = await platform.send_request("/read/x")
        return status, received(target)

    assert run(scenario, plain_targets=1) == (200, 2)


def test_rest_is_that_of_the_head_that_answered():
    """The head turns the request away, whichever target it blames."""

    async def scenario(platform):
        head, worker = platform.engine_targets
        head.fails_at = worker.address
        head.rest(60.0)
        await platform.send_request("/chat/x")
        now = asyncio.get_running_loop().time()
        return [known(platform, t).is_resting(now) for t in (head, worker)]

    assert run(scenario) == [True, False]
