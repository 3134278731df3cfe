"""A deterministic layered model whose answers reveal execution errors.

Each layer keeps a state that depends on all its inputs, in order. If a
layer is skipped, run twice or run out of order, all later tokens change.
"""

import hashlib

DIGEST_BYTES = 8


class LayerStates:
    """States of a contiguous range of layers for one stream.

    Parameters
    ----------
    version : str
        Version of the model.
    first, last : int
        First and last layer, both included.
    states : list of str, optional
        States to continue from; a new stream without them.
    """

    __slots__ = ("_first", "_states", "_version")

    def __init__(self, version, first, last, states=None):
        self._version = version
        self._first = first
        self._states = states or [""] * (last - first + 1)

    @property
    def states(self):
        """Copy of the states in layer order."""
        return list(self._states)

    def run(self, payload):
        """Run all layers in order on one input and return the output."""
        for index, state in enumerate(self._states):
            layer = self._first + index
            text = f"{self._version}/{layer}/{state}/{payload}"
            payload = _digest(text)
            self._states[index] = payload
        return payload


def token_text(hidden):
    """Return the token for an output of the last layer.

    Examples
    --------
    >>> token_text("00ff")
    ' w00ff'
    """
    return f" w{hidden[:6]}"


def reference_answer(version, layers, prompt, count):
    """Return the tokens that a correct run of the whole model produces.

    Parameters
    ----------
    version : str
        Version of the model.
    layers : int
        Number of layers.
    prompt : str
        Input of position 0.
    count : int
        Number of tokens.

    Returns
    -------
    list of str
    """
    states = LayerStates(version, 0, layers - 1)
    tokens = []
    payload = prompt
    for _ in range(count):
        payload = token_text(states.run(payload))
        tokens.append(payload)
    return tokens


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
