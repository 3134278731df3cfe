"""Cost of tickets and of the records of their runs on the issuing host."""

import time

from apricotseam.execution._records import Claim
from apricotseam.execution._records import Ending
from apricotseam.execution._records import MAX_RECORDS
from apricotseam.execution._records import RunRecords
from apricotseam.execution._records import State
from apricotseam.execution._ticket import TicketSigner
from measure.slopes._slope import Slope

ANSWER_BYTES = 300
VALID_SECONDS = 30.0
CUSTOMERS = 1000


def records_of_answered_runs(size):
    """Return the records of a number of runs that were answered."""
    records = RunRecords(max_records=10 * MAX_RECORDS)
    _record_runs(records, size)
    return records


def _record_runs(records, count):
    """Claim a number of runs and record an answer for each."""
    for number in range(count):
        identifier = f"{number:032x}"
        attempt = f"{number:024x}"
        claim = Claim(
            identifier=identifier,
            attempt=attempt,
            customer=f"customer-{number % CUSTOMERS}",
            digest=f"{number:064x}",
            expires=VALID_SECONDS,
        )
        records.claim(claim, 0.0)
        body = str(number).encode().ljust(ANSWER_BYTES)
        ending = Ending(state=State.ANSWERED, status=200, body=body)
        records.end(identifier, attempt, ending)


def _ticket_milliseconds(tickets):
    """Return the processor time of a number of tickets and their runs.

    Each ticket is issued and verified, and one run for it is claimed and
    ended.

    Returns
    -------
    float
        Processor time in milliseconds.
    """
    signer = TicketSigner(["signing-key"])
    records = RunRecords(max_records=10 * MAX_RECORDS)
    before = time.thread_time()
    for _ in range(tickets):
        text = signer.issue("127.0.0.1:1", 1, "s", "c", VALID_SECONDS)
        signer.read(text, "s", "c")
    _record_runs(records, tickets)
    return (time.thread_time() - before) * 1e3


EXECUTION_SLOPES = [
    Slope(
        name="processor time of a ticket",
        unit="ms",
        per="call",
        measure=_ticket_milliseconds,
    )
]
