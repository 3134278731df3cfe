"""A streamed answer that goes on at the next address."""

import time

import msgspec
import urllib3

from apricotseam.client._client import HostClient
from apricotseam.client._client import RemoteError
from apricotseam.errors import AnswerLostError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.web import HttpClient
from apricotseam.web import UnreachableError

IDLE_SECONDS = 5.0
ROUNDS = 3
PAUSE_SECONDS = 0.2
# Seconds after which a refusal that names a longer time is passed on.
MAX_WAIT_SECONDS = 2.0
RESUME_HEADER = "Apricotseam-Resume"
PATH = "/v1/chat/completions"
TRY_ELSEWHERE = ("not_configured", "host_leaving", "no_target", "failed")
_LOST = (urllib3.exceptions.HTTPError, OSError, AnswerLostError)


class ResumingAnswer:
    """Reads one answer, over as many hosts as it takes.

    Parameters
    ----------
    key : str
        The customer's key.
    model, prompt : str
        Name of the pipeline and text of the user's message.
    max_tokens : int
        Bound on the answer.
    client : HttpClient, optional
        Carries the calls; plain text without it.
    """

    sends_back = True

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
        """Yield the texts of the answer's tokens, each once.

        Parameters
        ----------
        host : str
            Callers' address of any host, ``ip:port``.

        Raises
        ------
        RemoteError
            If a host refused the request for good.
        OutcomeUnknownError
            If no address gave the rest of the answer.
        """
        yield from self.read_at(self._addresses(host))

    def read_at(self, addresses):
        """Yield the texts of the tokens from addresses in this order."""
        for _ in range(ROUNDS):
            for address in addresses:
                yield from self._read_one(address)
                if self._is_done:
                    return
            time.sleep(PAUSE_SECONDS)
        raise OutcomeUnknownError(
            f"no address gave the answer past token {len(self._tokens)}",
            "ask again",
        )

    def _addresses(self, host):
        client = HostClient(host, self._key, self._client)
        answer = client.call("GET", "/v1/addresses", dict)
        return answer["addresses"]

    def _read_one(self, address):
        client = HostClient(address, self._key, self._client)
        body = dict(self._body)
        headers = {}
        if self._handle is not None:
            headers[RESUME_HEADER] = self._handle
            if self._tokens:
                headers["Last-Event-ID"] = str(len(self._tokens) - 1)
                if self.sends_back:
                    body["delivered"] = self._tokens
        deadline = time.monotonic() + IDLE_SECONDS
        try:
            got, lines = client.open_stream(
                "POST", PATH, body, headers, deadline
            )
            self._handle = got.get(RESUME_HEADER, self._handle)
            yield from self._read_lines(lines)
        except RemoteError as error:
            if error.code in TRY_ELSEWHERE:
                return
            if (
                error.retry_after is None
                or error.retry_after > MAX_WAIT_SECONDS
            ):
                raise
            time.sleep(error.retry_after)
        except (UnreachableError, *_LOST):
            return

    def _read_lines(self, lines):
        for line in lines:
            if line == b"data: [DONE]":
                self._is_done = True
            if not line.startswith(b"data: {"):
                continue
            event = msgspec.json.decode(line[6:])
            if "error" in event:
                raise RemoteError(_error(event["error"]))
            text = event["choices"][0]["delta"]["content"]
            self._tokens.append(text)
            yield text


def _error(fields):
    return msgspec.convert(fields, type=ErrorFields)


class ErrorFields(msgspec.Struct, frozen=True):
    """Fields of an error in a stream."""

    code: str
    message: str
    remedy: str
    retry_after: float | None = None
