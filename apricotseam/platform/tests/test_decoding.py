"""Decoding and encoding of wire formats, valid and malformed."""

import json

import pytest

from apricotseam.errors import InvalidFileError
from apricotseam.fleet import LayerRange
from apricotseam.http1 import Request
from apricotseam.http1 import ResponseHead
from apricotseam.platform import decode_address_query
from apricotseam.platform import decode_configuration
from apricotseam.platform import decode_report
from apricotseam.platform import decode_request_metadata
from apricotseam.platform import decode_response_metadata
from apricotseam.platform import decode_target
from apricotseam.platform import encode_addresses
from apricotseam.platform import forwarded_headers
from apricotseam.platform import Forwarding
from apricotseam.platform import Placement
from apricotseam.platform import refusal_headers
from apricotseam.platform import Reroute
from apricotseam.platform import returned_headers
from apricotseam.platform import Stage
from apricotseam.routes import RepeatPolicy

ENTRY = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Slots": 4,
    "State": "ready",
    "Sequence": 3,
    "RouteKind": "l4",
    "Layers": {"From": 0, "Target": 8, "Version": 1},
    "born": 17,
}

# Name of the case, and the fields that replace those of `ENTRY`; None
# removes a field.
MALFORMED = [
    ("missing address", {"Address": None}),
    ("address of another type", {"Address": 7}),
    ("address without a port", {"Address": "10.0.0.1"}),
    ("port that is not a number", {"Address": "10.0.0.1:x"}),
    ("port out of range", {"Address": "10.0.0.1:99999"}),
    ("port zero", {"Address": "10.0.0.1:0"}),
    ("port in digits that are not ASCII", {"Address": "10.0.0.1:²"}),
    ("address that breaks a header", {"Address": "10.0.0.1\n:80"}),
    ("address that breaks a chain", {"Address": "10.0.0.1=0-2,x:80"}),
    ("address that is not ASCII", {"Address": "hôst:80"}),
    ("host name with an empty label", {"Address": "a..b:80"}),
    ("host name that is too long", {"Address": f"{'a' * 64}:80"}),
    ("zone of a megabyte", {"Zone": "z" * 1_000_000}),
    ("service of a megabyte", {"Service": "s" * 1_000_000}),
    ("kind of a megabyte", {"RouteKind": "k" * 1_000_000}),
    ("slots out of range", {"Slots": 10**30}),
    ("layers out of range", {"Layers": {"From": 0, "Target": 10**30}}),
    ("unknown state", {"State": "resting"}),
    ("state of another type", {"State": 1}),
    ("missing service", {"Service": None}),
    ("missing zone", {"Zone": None}),
    ("missing state", {"State": None}),
    ("zone of another type", {"Zone": 4}),
    ("start time out of range", {"born": 10**30}),
    ("negative start time", {"born": -1}),
    ("negative number of orders", {"Sequence": -1}),
    ("negative layer", {"Layers": {"From": -4, "Target": 8}}),
    ("layers without an end", {"Layers": {"From": 0}}),
    ("zero slots", {"Slots": 0}),
    ("slots of another type", {"Slots": "many"}),
    ("start time that is not an integer", {"born": 1.5}),
    ("layers of another type", {"Layers": [0, 8]}),
]


def encode_entry(changes):
    """Return the JSON of `ENTRY` with some fields replaced or removed."""
    fields = {**ENTRY, **changes}
    return json.dumps(
        {name: value for name, value in fields.items() if value is not None}
    ).encode()


def test_entry_of_a_target():
    record = decode_target("servers/i-1", encode_entry({"Extra": 1}), 9)
    assert record.identity == "i-1"
    assert record.layers == LayerRange(0, 8)
    assert record.incarnation == ("i-1", 17)
    assert not record.is_draining
    assert decode_target(
        "servers/i-1", encode_entry({"State": "draining"}), 9
    ).is_draining


@pytest.mark.parametrize(
    "changes", [case[1] for case in MALFORMED], ids=[c[0] for c in MALFORMED]
)
def test_malformed_entry_is_invalid(changes):
    assert decode_target("servers/i-1", encode_entry(changes), 9) is None


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        b"{",
        b'{"Service":"\xff"}',
        b'{"x":' + b"[" * 100_000,
    ],
    ids=range(7),
)
def test_undecodable_entry_is_invalid(value):
    assert decode_target("servers/i-1", value, 9) is None


# Guards against an identity that no request to its target could name.
@pytest.mark.parametrize("identity", ["", "i 1", "i\n1", "ï"])
def test_entry_of_an_unusable_identity_is_invalid(identity):
    key = f"servers/{identity}"
    assert decode_target(key, encode_entry({}), 9) is None


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"Routes":[{"Host":"h","Prefix":"/","RouteKind":"new"}]}',
        b'{"Routes":[{"Prefix":"/"}]}',
    ],
)
def test_invalid_configuration(value):
    with pytest.raises(InvalidFileError):
        decode_configuration(value, 1)


def test_configuration():
    value = {
        "Version": 7,
        "Routes": [
            {
                "Name": "r",
                "Host": "h",
                "Prefix": "/a/",
                "RouteKind": "streaming",
                "TimeoutMs": 500,
                "Resumable": True,
                "Split": [
                    {"Service": "s", "Weight": 90},
                    {"Service": "t", "Weight": 10},
                ],
            }
        ],
        "Services": [{"Name": "s"}, {"Name": "t"}],
        "Limits": {"IdleTimeoutMs": 1500},
        "Tenants": [{"Name": "c", "ApiKeys": ["k1", "k2"], "Priority": 1}],
    }
    table = decode_configuration(json.dumps(value).encode(), 12)
    route = table.find_route("h", "/a/b/c")
    assert (route.repeat, route.timeout_seconds) == (RepeatPolicy.STREAM, 0.5)
    assert route.is_repeatable
    assert [share.weight for share in route.shares] == [90, 10]
    assert table.find_customer("k2").name == "c"
    assert table.limits.idle_seconds == 1.5
    assert (table.position, table.version) == (12, 7)


def make_request(extra=()):
    """Return a caller's request with additional headers."""
    headers = [
        (b"Host", b"h.example"),
        (b"Apricotseam-Request-Id", b"r1"),
        (b"Apricotseam-Key", b"secret"),
        (b"Apricotseam-Deadline-Ms", b"1500"),
        (b"Apricotseam-Token-Count", b"760,80"),
        (b"Apricotseam-Length-Hint", b"64"),
        (b"Apricotseam-Prefix-Hash", b"5c1e07a2:800,91bd3f06:41,e4402b7d:250"),
        (b"Content-Length", b"2"),
        *extra,
    ]
    return Request(b"POST", b"/a/b?c=d", headers, b"xy", 1.0)


def test_request_metadata():
    metadata = decode_request_metadata(
        make_request([(b"Last-Event-Id", b"12")])
    )
    assert metadata.request_id == "r1"
    assert metadata.seconds_left == 1.5
    assert (metadata.prompt_tokens, metadata.max_answer_tokens) == (760, 80)
    assert metadata.expected_answer_tokens == 64
    assert metadata.prompt_id == "e4402b7d"
    assert metadata.shared_parts == ("5c1e07a2", "91bd3f06")
    assert metadata.last_event == 12


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1.5", b"\xb2"])
def test_invalid_numbers_are_ignored(value):
    headers = [
        (b"Apricotseam-Deadline-Ms", value),
        (b"Apricotseam-Token-Count", value),
        (b"Last-Event-Id", value),
    ]
    metadata = decode_request_metadata(Request(b"GET", b"/", headers))
    assert metadata.seconds_left is None
    assert metadata.prompt_tokens is None
    assert metadata.last_event is None


def test_forwarded_headers():
    request = make_request(
        [
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"1"),
            (b"Apricotseam-Tenant", b"forged"),
            (b"Apricotseam-Expect-Instance", b"forged"),
            (b"Apricotseam-Hop-Count", b"forged"),
        ]
    )
    forwarding = Forwarding(
        seconds_left=0.9004, target="i-1", customer="c", chain="a:1=0-2"
    )
    headers = forwarded_headers(request, forwarding)
    names = [name.lower() for name, _ in headers]
    assert len(names) == len(set(names))
    values = {name.decode().lower(): value.decode() for name, value in headers}
    assert "apricotseam-key" not in values
    assert "x-hop" not in values
    assert "connection" not in values
    assert values["x-kept"] == "1"
    assert values["apricotseam-tenant"] == "c"
    assert values["apricotseam-expect-instance"] == "i-1"
    assert values["apricotseam-hop-count"] == "a:1=0-2"
    assert values["apricotseam-deadline-ms"] == "900"
    assert values["apricotseam-request-id"] == "r1"
    assert values["content-length"] == "2"


# Status, headers, and whether they prove that the request was not run.
NOT_RUN = [
    (503, [(b"Apricotseam-Not-Executed", b"1")], True),
    (421, [(b"Apricotseam-Instance-Id", b"i-2")], True),
    (503, [], False),
    (500, [], False),
    (429, [], False),
]


@pytest.mark.parametrize(("status", "headers", "expected"), NOT_RUN)
def test_proof_that_a_request_was_not_run(status, headers, expected):
    assert (
        decode_response_metadata(
            ResponseHead(status, b"", headers)
        ).was_not_run
        is expected
    )


def test_response_metadata():
    headers = [
        (b"Apricotseam-Server-Load", b"3,0,8"),
        (b"At-Server", b"10.0.0.2:80"),
        (b"Content-Encoding", b"gzip"),
        (b"Content-Length", b"3"),
        (b"Keep-Alive", b"timeout=5"),
    ]
    response = ResponseHead(200, b"OK", headers)
    metadata = decode_response_metadata(response)
    assert metadata.load == (3, 0, 8)
    assert metadata.failed_target == "10.0.0.2:80"
    assert metadata.is_encoded and not metadata.is_signed
    names = [name for name, _ in returned_headers(response)]
    assert b"Content-Length" not in names and b"Keep-Alive" not in names


def test_refusal_has_retry_after_header():
    assert refusal_headers("r", 0.456)[1] == (b"Retry-After", b"0.46")
    assert refusal_headers("") == []


def test_orders():
    layers = LayerRange(0, 8)
    placed = json.loads(Placement(layers=layers, fence=4).encode())
    assert placed == {
        "Op": "place",
        "From": 0,
        "Target": 8,
        "Mode": "queue",
        "FencingToken": 4,
    }
    reroute = Reroute(request_id="r", chain=(Stage("h:1", layers),))
    assert json.loads(reroute.encode()) == {
        "Op": "repath",
        "Id": "r",
        "Path": "h:1=0-8",
    }


def test_report():
    report = decode_report(
        b'{"Busy":true,"Sequence":2,"Active":3,"KvUsed":10,"KvTotal":20,'
        b'"pace":2.5,"Layers":{"From":1,"Target":3},'
        b'"Stalled":[{"Id":"r","Address":"h:1"}]}'
    )
    assert report.is_busy and report.slowness == 2.5
    assert report.layers == LayerRange(1, 3)
    assert report.stalled[0].address == "h:1"


def test_addresses():
    query = decode_address_query(b"/v1/resolve?Name=h&Region=r&Zone=z")
    assert (query.host, query.zone) == ("h", "z")
    assert decode_address_query(b"/other") is None
    body = json.loads(encode_addresses(["h:1"], 5.0))
    assert body == {"Addresses": ["h:1"], "TtlS": 5.0}
