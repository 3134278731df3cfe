"""Times until the first event of a request, from profile and bookings."""

import msgspec
import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import link_resource
from apricotseam.chains import PeerUsage
from apricotseam.chains import StageLoad
from apricotseam.chains import StartModel
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.chains import tokens_to_read
from apricotseam.chains import Usage
from apricotseam.routes import Service

LINKED = msgspec.structs.replace(
    PROFILE, activation_bytes=36000.0, inter_zone_mbps=790.0
)
MODEL = StartModel(Service(name="model", engine=LINKED))
PROMPT_TOKENS = 800
# From docs/design/hard-load.md.
TRANSFER_MS = 292


def make_stage(resource="t1", zone="a", running=0, start_ms=0.0):
    return StageLoad(resource, zone, 40, 5.6, 2.7, running, start_ms)


@pytest.mark.parametrize(
    ("zones", "crossings"), [("aa", 0), ("ab", 1), ("aba", 2), ("abc", 2)]
)
def test_each_crossing_takes_the_link_for_the_whole_prompt(zones, crossings):
    """Guards against chains over zones that look as fast as others."""
    stages = [make_stage(f"t{n}", zone) for n, zone in enumerate(zones)]
    work = dict(MODEL.estimate(stages, PROMPT_TOKENS).start_work)
    expected = crossings * TRANSFER_MS
    assert work.get(link_resource("model"), 0.0) == pytest.approx(
        expected, abs=1.0 + crossings
    )


# Stages, booked on the link, resource with the longest queue.
QUEUES = [
    ("idle", [make_stage("t1"), make_stage("t2")], 0.0, 0.0),
    ("stage", [make_stage("t1"), make_stage("t2", start_ms=90)], 0.0, 90.0),
    ("link", [make_stage("t1"), make_stage("t2", "b")], 500.0, 500.0),
    ("unused link", [make_stage("t1"), make_stage("t2")], 500.0, 0.0),
]


@pytest.mark.parametrize(
    ("stages", "link_ms", "queue_ms"),
    [case[1:] for case in QUEUES],
    ids=[case[0] for case in QUEUES],
)
def test_the_longest_queue_of_a_chain_counts(stages, link_ms, queue_ms):
    estimate = MODEL.estimate(stages, PROMPT_TOKENS, link_ms)
    assert estimate.queue_ms == pytest.approx(queue_ms, rel=0.1)
    assert estimate.milliseconds > estimate.queue_ms


def test_prompts_wait_longer_where_many_requests_write():
    """Guards against estimates that leave out the steps between reads."""
    idle = MODEL.queue_ms(make_stage(start_ms=100.0))
    busy = MODEL.queue_ms(make_stage(start_ms=100.0, running=90))
    assert busy > 1.2 * idle


def test_tokens_of_events_are_read_again():
    assert tokens_to_read(800, 0, LINKED) == 800
    assert tokens_to_read(800, 10, LINKED) == 830
    assert tokens_to_read(0, 0, LINKED) == PROFILE.usual_prompt_tokens


def test_start_work_is_booked_until_the_first_event():
    """Guards against time that stays booked, or is released twice."""
    ledger = Ledger()
    link = link_resource("model")
    first = ledger.book(10.0, [("t1", 4)], [("t1", 30.0), (link, 50.0)])
    second = ledger.book(10.0, [("t1", 4)], [("t1", 30.0)])
    assert (ledger.start_ms("t1"), ledger.start_ms(link)) == (60.0, 50.0)
    ledger.record_start(first)
    ledger.record_start(first)
    assert (ledger.start_ms("t1"), ledger.start_ms(link)) == (30.0, 0.0)
    assert ledger.running("t1") == 2
    ledger.release(first)
    ledger.release(second)
    assert ledger.own == {}


def test_peers_add_their_start_work():
    ledger = Ledger()
    usage = PeerUsage("h/1", 1, {"t1": Usage(40.0, 1, 25.0)})
    ledger.update_peer(usage, 0.0)
    ledger.book(1.0, [("t1", 1)], [("t1", 5.0)])
    assert ledger.start_ms("t1") == 30.0
    assert ledger.news_seconds(0.7) == pytest.approx(0.7)
    ledger.expire(4.0)
    assert ledger.start_ms("t1") == 5.0


@pytest.mark.parametrize(("peers", "counted"), [(0, 0), (2, 2), (41, 3)])
def test_peers_that_are_not_heard_yet_add_some_start_work(peers, counted):
    """Guards against hosts that refuse everything right after a restart.

    Nor may all of them send to the same targets.
    """
    ledger = Ledger(expected_peers=lambda: peers)
    ledger.book(100.0, [("t1", 1)], [("t1", 5.0)])
    assert ledger.start_ms("t1") == 5.0 * (1 + counted)
    assert ledger.used_units("t1") == 100.0 * (1 + peers)
