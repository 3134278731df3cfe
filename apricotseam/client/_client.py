"""Client of a host's administration and callers' interfaces."""

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.web import HttpClient


class RemoteError(ApricotseamError):
    """An error that a host answered with; carries that error's code."""

    code = "remote_error"

    def __init__(self, body):
        super().__init__(body.message, body.remedy, body.retry_after)
        self.code = body.code
        self.exit_code = _EXIT_CODES.get(body.code, 1)


class _ErrorBody(msgspec.Struct):
    code: str
    outcome: str
    message: str
    remedy: str
    retry_after: float | None = None


class _ErrorResponse(msgspec.Struct):
    error: _ErrorBody


def _exit_codes(error_class):
    """Return a mapping of error codes to exit codes.

    It covers an error class and all its subclasses.
    """
    exit_codes = {error_class.code: error_class.exit_code}
    for child in error_class.__subclasses__():
        exit_codes.update(_exit_codes(child))
    return exit_codes


_EXIT_CODES = _exit_codes(ApricotseamError)


class HostClient:
    """Sends requests to one host, with an API key.

    Parameters
    ----------
    address : str
        Address of the callers' or operators' interface, as ``ip:port``.
    key : str
        The operator's or customer's API key.
    client : HttpClient, optional
        HTTP client for the calls; by default one without TLS.
    """

    def __init__(self, address, key, client=None):
        self._address = address
        self._key = key
        self._client = client or HttpClient()

    def call(self, method, path, record_type, body=None, headers=None):
        """Send a request and return its answer, decoded as `record_type`.

        Raises
        ------
        RemoteError
            If the host answered with an error.
        UnreachableError, AnswerLostError
            As for `HttpClient.call`.
        """
        answer = self._client.call(
            self._address, method, path, body, headers=self._headers(headers)
        )
        if answer.status >= 400:
            raise RemoteError(answer.json(_ErrorResponse).error)
        return answer.json(record_type)

    def stream(self, method, path, body, headers=None):
        """Send a request and yield the lines of its streamed answer.

        Raises
        ------
        RemoteError
            If the host answered with an error.
        UnreachableError, AnswerLostError
            As for `HttpClient.call`.
        """
        _, lines = self.open_stream(method, path, body, headers)
        yield from lines

    def open_stream(self, method, path, body, headers=None, deadline=None):
        """Send a request; return the headers and lines of its answer.

        Parameters
        ----------
        deadline : float, optional
            Monotonic time in seconds. The time left until then when the
            request is sent also bounds the wait for each part of the
            answer.

        Returns
        -------
        headers : mapping of str to str
        lines : iterator of bytes
            Lines without their line feeds.

        Raises
        ------
        RemoteError
            If the host answered with an error.
        UnreachableError, AnswerLostError
            As for `HttpClient.call`.
        """
        response = self._client.stream(
            self._address,
            method,
            path,
            body,
            deadline,
            self._headers(headers),
        )
        if response.status >= 400:
            raise RemoteError(
                msgspec.json.decode(response.read(), type=_ErrorResponse).error
            )
        return response.headers, _lines(response)

    def _headers(self, headers):
        return {"Authorization": f"Bearer {self._key}", **(headers or {})}


def _lines(response):
    pending = b""
    for chunk in response.stream(4096):
        *lines, pending = (pending + chunk).split(b"\n")
        yield from lines
