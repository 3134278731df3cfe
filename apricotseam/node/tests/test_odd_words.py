"""Hosts that read what targets say about themselves, which may be anything."""

import asyncio

import pytest

from apricotseam.errors import InvalidInputError
from apricotseam.node.tests.harness import run
from apricotseam.node.tests.test_odd_entries import failures
from apricotseam.node.tests.test_odd_entries import NESTED
from apricotseam.platform import decode_report
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

MANY_DIGITS = b"9" * 5000
# Description, header, and odd values of it.
HEADERS = [
    (
        "time to keep a connection",
        b"Keep-Alive",
        [
            b"timeout=\xb2",
            b"timeout=" + MANY_DIGITS,
            b"timeout=" + b"9" * 400,
            b"timeout=-1",
            b"=,=",
        ],
    ),
    (
        "load",
        b"Apricotseam-Server-Load",
        [b"1,1," + MANY_DIGITS, b"\xb2,0,0", b",,,", b"-1,0,1"],
    ),
    (
        "limit",
        b"Server-Limit",
        [MANY_DIGITS, b"0", b"0.0", b"nan", b"inf", b"1e9", b"\xb2"],
    ),
    ("target at fault", b"At-Server", [b"", b"x" * 9000, b"\xff:80"]),
    ("version of the weights", b"Apricotseam-Weight-Versions", [MANY_DIGITS]),
    ("leaving", b"Server-Leaving", [b"\xb2", MANY_DIGITS, b""]),
]


class OddTarget(TargetStandIn):
    """A target that says odd things in its answers."""

    def __init__(self, identity, address, is_engine, headers):
        super().__init__(identity, address, is_engine)
        self._odd_headers = headers

    def _common_headers(self):
        return [*super()._common_headers(), *self._odd_headers]


@pytest.mark.parametrize(
    ("name", "values"),
    [case[1:] for case in HEADERS],
    ids=[case[0] for case in HEADERS],
)
def test_answers_with_odd_headers(name, values):
    """Guards against components and requests that fail on a header."""

    async def scenario(platform):
        for number, value in enumerate(values):
            await add_targets(platform, number, [(name, value)])
        await platform.wait_until(
            lambda: (
                len(platform.nodes[0].forwarding.fleet) == 4 + 2 * len(values)
            )
        )
        odd_targets = platform.plain_targets[2:]
        for target in platform.plain_targets:
            target.answer_seconds = 0.2
        # So many at once that each target gets some.
        count = 3 * len(platform.plain_targets)
        answers = await asyncio.gather(
            *(platform.send_request("/read/x") for _ in range(count))
        )
        answers.append(await platform.send_request("/chat/x"))
        assert all(target.requests for target in odd_targets)
        await platform.wait_until(
            lambda: all(t.orders for t in platform.engine_targets[2:])
        )
        await asyncio.sleep(0.4)
        assert failures(platform.nodes[0]) == set()
        return [(status, body is not None) for status, _, body in answers]

    # A target may say that it takes nothing, which is a refusal.
    found = set(run(scenario))
    assert found <= {(200, True), (503, True)}
    if name != b"Server-Limit":
        assert found == {(200, True)}


async def add_targets(platform, number, headers):
    """Start and register a plain target and an empty engine."""
    for targets in (platform.plain_targets, platform.engine_targets):
        is_engine = targets is platform.engine_targets
        identity = f"odd-{'e' if is_engine else 'p'}{number}"
        target = OddTarget(identity, free_address(), is_engine, headers)
        await target.start()
        targets.append(target)
        platform.register(target)


class OddReporter(TargetStandIn):
    """A target whose reports are odd."""

    def __init__(self, identity, address, body):
        super().__init__(identity, address, is_engine=True)
        self._body = body
        self.reports = 0

    async def _handle(self, request, exchange):
        if request.target == b"/v1/report":
            self.reports += 1
            exchange.answer(200, self._body)
            return
        await super()._handle(request, exchange)


# Bodies of reports that are odd.
REPORTS = [
    b"",
    b"null",
    b'{"Sequence":-1}',
    b'{"Sequence":1' + b"0" * 400 + b"}",
    b'{"Sequence":18446744073709551616}',
    b'{"KvUsed":-1,"pace":1e308}',
    b'{"Layers":{"From":0,"Target":1' + b"0" * 30 + b"}}",
    NESTED,
]


@pytest.mark.parametrize("body", REPORTS, ids=range(len(REPORTS)))
def test_odd_report_is_refused(body):
    with pytest.raises(InvalidInputError):
        decode_report(body)


@pytest.mark.parametrize("body", REPORTS, ids=range(len(REPORTS)))
def test_odd_report_of_a_target_that_gets_an_order(body):
    """Guards against hosts that end again and again on a target's report."""

    async def scenario(platform):
        node = platform.nodes[0]
        odd = OddReporter("odd", free_address(), body)
        odd.layers = (0, LAYERS // 2)
        platform.engine_targets.append(odd)
        await odd.start()
        platform.register(odd)
        # The odd target is to fill the gap.
        platform.store.remove(platform.engine_targets[1])
        await platform.wait_until(lambda: odd.reports > 1)
        await asyncio.sleep(0.1)
        assert failures(node) == set()
        platform.register(platform.engine_targets[1])
        await platform.wait_until(lambda: len(node.forwarding.fleet) == 5)
        status, _, answered = await platform.send_request("/chat/x")
        assert (status, answered is not None) == (200, True)

    run(scenario)
