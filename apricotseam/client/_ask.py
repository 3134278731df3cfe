"""A streamed answer that resumes at the next address after a failure."""

import time

import msgspec
import urllib3

from apricotseam.client._client import HostClient
from apricotseam.client._client import RemoteError
from apricotseam.errors import AnswerLostError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.web import HttpClient
from apricotseam.web import UnreachableError

# Time within which each part of an answer must arrive.
IDLE_TIMEOUT_SECONDS = 5.0
# Attempts at each address, and the pause after all addresses were tried.
MAX_ROUNDS = 3
ROUND_PAUSE_SECONDS = 0.2
# Longest Retry-After time that is waited out; a refusal with a longer one is
# raised to the caller.
MAX_RETRY_AFTER_SECONDS = 2.0
RESUME_HEADER = "Apricotseam-Resume"
COMPLETIONS_PATH = "/v1/chat/completions"
# Codes of errors after which the next address may succeed.
NEXT_ADDRESS_CODES = ("not_configured", "host_leaving", "no_target", "failed")
_LOST_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    AnswerLostError,
)


class ResumingAnswer:
    """Reads one answer, resuming it at other hosts when one fails.

    Parameters
    ----------
    key : str
        The customer's key.
    model, prompt : str
        Name of the pipeline and text of the user's message.
    max_tokens : int
        Upper bound on the tokens of the answer.
    client : HttpClient, optional
        HTTP client for the calls; by default one without TLS.

    Attributes
    ----------
    sends_received_tokens : bool
        Whether the tokens received so far are sent along when resuming, so
        that the new host need not generate them again.
    """

    sends_received_tokens = True

    def __init__(self, key, model, prompt, max_tokens, client=None):
        self._key = key
        self._client = client or HttpClient()
        self._body = {
            "model": model,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        self._handle = None
        self._tokens = []
        self._is_done = False

    def read(self, host):
        """Yield the text of each token of the answer, each token once.

        The addresses to try are requested from `host` first.

        Parameters
        ----------
        host : str
            Callers' address of any host, as ``ip:port``.

        Raises
        ------
        RemoteError
            If a host answered with an error that no other address or short
            wait can resolve.
        OutcomeUnknownError
            If the answer is incomplete after all rounds.
        """
        yield from self.read_from_addresses(self._addresses(host))

    def read_from_addresses(self, addresses):
        """Yield the text of each token, trying addresses in this order.

        Parameters
        ----------
        addresses : list of str
            Callers' addresses of hosts, as ``ip:port``.

        Raises
        ------
        RemoteError, OutcomeUnknownError
            As for `read`.
        """
        for _ in range(MAX_ROUNDS):
            for address in addresses:
                yield from self._read_from(address)
                if self._is_done:
                    return
            time.sleep(ROUND_PAUSE_SECONDS)
        raise OutcomeUnknownError(
            f"no address continued the answer at token {len(self._tokens)}",
            "send the request again",
        )

    def _addresses(self, host):
        client = HostClient(host, self._key, self._client)
        answer = client.call("GET", "/v1/addresses", dict)
        return answer["addresses"]

    def _read_from(self, address):
        client = HostClient(address, self._key, self._client)
        body = dict(self._body)
        headers = {}
        if self._handle is not None:
            headers[RESUME_HEADER] = self._handle
            if self._tokens:
                headers["Last-Event-ID"] = str(len(self._tokens) - 1)
                if self.sends_received_tokens:
                    body["delivered"] = self._tokens
        deadline = time.monotonic() + IDLE_TIMEOUT_SECONDS
        try:
            response_headers, lines = client.open_stream(
                "POST", COMPLETIONS_PATH, body, headers, deadline
            )
            self._handle = response_headers.get(RESUME_HEADER, self._handle)
            yield from self._read_lines(lines)
        except RemoteError as error:
            if error.code in NEXT_ADDRESS_CODES:
                return
            if (
                error.retry_after is None
                or error.retry_after > MAX_RETRY_AFTER_SECONDS
            ):
                raise
            time.sleep(error.retry_after)
        except (UnreachableError, *_LOST_CONNECTION_ERRORS):
            return

    def _read_lines(self, lines):
        for line in lines:
            if line == b"data: [DONE]":
                self._is_done = True
            if not line.startswith(b"data: {"):
                continue
            event = msgspec.json.decode(line[6:])
            if "error" in event:
                raise RemoteError(_error_fields(event["error"]))
            text = event["choices"][0]["delta"]["content"]
            self._tokens.append(text)
            yield text


def _error_fields(fields):
    return msgspec.convert(fields, type=ErrorFields)


class ErrorFields(msgspec.Struct, frozen=True):
    """Fields of an error event in a streamed answer."""

    code: str
    message: str
    remedy: str
    retry_after: float | None = None
