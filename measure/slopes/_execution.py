"""Cost of keeping runs at their home by the number of records."""

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


def records_of_runs(size):
    """Return the records of a number of runs that were answered."""
    records = RunRecords(max_records=10 * MAX_RECORDS)
    _run(records, size)
    return records


def _run(records, size):
    for number in range(size):
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


def _processor(size):
    """Return the time to issue, read, claim and end a number of tickets."""
    signer = TicketSigner(["signing-key"])
    records = RunRecords(max_records=10 * MAX_RECORDS)
    before = time.thread_time()
    for _ in range(size):
        text = signer.issue("127.0.0.1:1", 1, "s", "c", VALID_SECONDS)
        signer.read(text, "s", "c")
    _run(records, size)
    return (time.thread_time() - before) * 1e3


EXECUTION_SLOPES = [
    Slope(
        name="processor time of a ticket",
        unit="ms",
        per="call",
        measure=_processor,
    )
]
