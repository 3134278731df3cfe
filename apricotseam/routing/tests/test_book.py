"""Corrected loads."""

import pytest

from apricotseam.routing._book import LoadBook
from apricotseam.routing._book import MAX_TARGETS
from apricotseam.routing._book import RESERVATION_SECONDS

A = "127.0.0.1:1"


@pytest.mark.parametrize(
    "starts, ends, reported, read_at, load",
    [
        ([], [], 7, 0.0, 7),
        ([1.0, 2.0], [], 7, 0.0, 9),
        ([1.0, 2.0], [], 7, 1.5, 8),
        ([1.0, 2.0], [3.0], 7, 1.5, 7),
        ([1.0, 2.0], [], 0, 5.0, 2),
    ],
    ids=["nothing", "both_later", "one_later", "ended", "own_work_counts"],
)
def test_load_is_corrected_since_the_report(
    starts, ends, reported, read_at, load
):
    book = LoadBook()
    for time in starts:
        book.started(A, time)
    for time in ends:
        book.ended(A, time)
    assert book.load(A, reported, read_at, 6.0) == load


def test_reservation_counts_until_it_starts_or_lapses():
    book = LoadBook()
    book.reserve(A, 0.0)
    book.reserve(A, 0.0)
    assert book.load(A, 0, 0.0, 0.1) == 2
    book.started(A, 0.2)
    assert book.load(A, 0, 0.0, 0.3) == 2
    assert book.load(A, 0, 0.0, RESERVATION_SECONDS) == 1


def test_table_is_bounded_and_keeps_targets_with_work():
    book = LoadBook()
    book.started(A, 0.0)
    for number in range(MAX_TARGETS + 10):
        book.reserve(f"10.0.0.1:{number}", 0.0)
    assert len(book._accounts) <= MAX_TARGETS + 1
    assert book.running(A) == 1
