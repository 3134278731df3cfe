"""Log event, metrics and usage counts of each caller's request."""

import collections
import functools
import logging
import threading

import msgspec
import prometheus_client

from apricotseam.callers._context import authenticate
from apricotseam.errors import ApricotseamError
from apricotseam.web import Response

_LOG = logging.getLogger(__name__)

# Upper bounds on the values of the label "class" and on the customers whose
# usage one host counts. Further classes share the label OTHER_LABEL; the
# least recently active customer is dropped first.
MAX_LABEL_VALUES = 64
MAX_CUSTOMERS = 20_000
OTHER_LABEL = "other"
TOKEN_EVENT_PREFIX = b"id: "

REQUESTS = prometheus_client.Counter(
    "apricotseam_requests", "Requests by class and outcome.", ["class", "code"]
)
TOKENS = prometheus_client.Counter(
    "apricotseam_tokens", "Tokens delivered to callers.", ["class"]
)
FIRST_TOKEN_SECONDS = prometheus_client.Histogram(
    "apricotseam_first_token_seconds",
    "Time from a request to its first token or answer.",
    ["class"],
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.0, 5.0, 10.0),
)
TOKEN_GAP_SECONDS = prometheus_client.Histogram(
    "apricotseam_token_gap_seconds",
    "Time between two tokens of an answer.",
    ["class"],
    buckets=(0.005, 0.01, 0.02, 0.03, 0.04, 0.056, 0.08, 0.12, 0.25, 1.0),
)


class RequestRecord:
    """Data on one request, filled in while it is answered.

    ``started_at`` and ``last_token_at`` are monotonic times in seconds.
    ``pool`` is the group of targets that the request needs, ``priority`` its
    priority class, and ``targets`` names the targets selected for it.
    """

    __slots__ = (
        "customer",
        "identifier",
        "last_token_at",
        "pool",
        "priority",
        "revision",
        "scope",
        "started_at",
        "targets",
        "tokens",
    )

    def __init__(self, started_at):
        self.started_at = started_at
        self.last_token_at = None
        self.tokens = 0
        self.targets = []
        self.identifier = self.scope = self.customer = ""
        self.priority = self.pool = ""
        self.revision = 0


class Usage(msgspec.Struct, kw_only=True):
    """Requests and tokens of one customer on one host since its start.

    ``refused`` counts the requests that ended with an error of the router, and
    those whose caller left before a streamed answer ended.
    """

    requests: int = 0
    refused: int = 0
    tokens: int = 0


class RequestObserver:
    """Logs requests, updates their metrics and counts customers' usage.

    Parameters
    ----------
    context : CallerContext
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context
        self._lock = threading.Lock()
        self._usage = collections.OrderedDict()
        self._labels = set()

    def observe(self, handler):
        """Return a handler that also logs and counts its requests."""

        @functools.wraps(handler)
        def observed_handler(request):
            request.record = RequestRecord(self._now())
            try:
                response = handler(request)
            except ApricotseamError as error:
                self._finish(request.record, error.code)
                raise
            except Exception:
                self._finish(request.record, ApricotseamError.code)
                raise
            if isinstance(response.body, bytes):
                self._observe_first_token(request.record)
                self._finish(request.record, str(response.status))
            else:
                response.body = self._observe_stream(
                    request.record, response.body
                )
            return response

        return observed_handler

    def usage(self, request):
        """Answer ``GET /v1/usage`` with the customer's own numbers."""
        caller = authenticate(request, self._context.snapshots)
        key = (caller.scope_file.scope, caller.customer.name)
        with self._lock:
            usage = self._usage.get(key) or Usage()
            return Response.of(usage)

    def _observe_stream(self, record, body):
        code = "caller_gone"
        try:
            for chunk in body:
                if chunk.startswith(TOKEN_EVENT_PREFIX):
                    self._observe_token(record)
                if chunk.startswith(b"event: error"):
                    code = _error_code(chunk)
                elif chunk.endswith(b"[DONE]\n\n"):
                    code = "200"
                yield chunk
        finally:
            if hasattr(body, "close"):
                body.close()
            self._finish(record, code)

    def _observe_token(self, record):
        now = self._now()
        if record.last_token_at is None:
            self._observe_first_token(record)
        else:
            label = self._class_label(record)
            TOKEN_GAP_SECONDS.labels(label).observe(now - record.last_token_at)
        record.last_token_at = now
        record.tokens += 1

    def _observe_first_token(self, record):
        seconds = self._now() - record.started_at
        FIRST_TOKEN_SECONDS.labels(self._class_label(record)).observe(seconds)

    def _finish(self, record, code):
        label = self._class_label(record)
        REQUESTS.labels(label, code).inc()
        TOKENS.labels(label).inc(record.tokens)
        self._count_usage(record, code)
        _LOG.info(
            "request_ended",
            extra={
                "request": record.identifier,
                "scope": record.scope,
                "customer": record.customer,
                "class": record.priority,
                "pool": record.pool,
                "revision": record.revision,
                "targets": record.targets,
                "code": code,
                "tokens": record.tokens,
                "seconds": round(self._now() - record.started_at, 6),
            },
        )

    def _count_usage(self, record, code):
        if not record.customer:
            return
        key = (record.scope, record.customer)
        with self._lock:
            usage = self._usage.setdefault(key, Usage())
            usage.requests += 1
            usage.refused += not code.isdecimal()
            usage.tokens += record.tokens
            self._usage.move_to_end(key)
            if len(self._usage) > MAX_CUSTOMERS:
                self._usage.popitem(last=False)

    def _class_label(self, record):
        label = f"{record.scope}/{record.priority}"
        if label in self._labels:
            return label
        with self._lock:
            if len(self._labels) >= MAX_LABEL_VALUES:
                return OTHER_LABEL
            self._labels.add(label)
        return label

    def _now(self):
        return self._context.clock.monotonic()


class _ErrorCode(msgspec.Struct):
    code: str


class _ErrorEvent(msgspec.Struct):
    error: _ErrorCode


def _error_code(chunk):
    data = chunk.split(b"data: ", 1)[1]
    return msgspec.json.decode(data, type=_ErrorEvent).error.code
