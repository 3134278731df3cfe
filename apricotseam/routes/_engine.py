"""What operators declare of the engines behind a service."""

import msgspec


class AcceleratorKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of accelerator.

    ``memory_mb`` is in 10**6 bytes. ``step_factor`` multiplies the time
    of token steps, ``read_factor`` that of reading prompts.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    read_factor: float = 1.0


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and times of one service's engines.

    Times are in milliseconds, sizes in 10**6 bytes unless the name says
    otherwise. ``load_seconds`` is the time to load all layers.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    kinds: tuple[AcceleratorKind, ...]
    slots: int
    step_ms: float
    step_ms_per_request: float = 0.0
    step_ms_per_1000_tokens: float = 0.0
    read_tokens_per_second: float = 1e5
    read_ms_per_million_pairs: float = 0.0
    chunk_tokens: int = 512
    tokens_per_event: int = 1
    load_seconds: float = 0.0
    usual_prompt_tokens: float = 1.0
    usual_answer_tokens: float = 1.0
    simultaneous_loads: int = 1
    activation_bytes: float = 0.0

    @property
    def unit_bytes(self):
        """Bytes that one token holds in one layer."""
        return self.token_bytes / self.layers

    def kind(self, name):
        """Return the `AcceleratorKind` of a name, or None."""
        for kind in self.kinds:
            if kind.name == name:
                return kind
        return None

    def capacity_units(self, memory_mb, layers):
        """Return tokens times layers that fit beside the weights.

        Parameters
        ----------
        memory_mb : float
            Memory of the target.
        layers : int
            Number of layers that it holds.

        Examples
        --------
        >>> profile = EngineProfile(
        ...     layers=80, layer_mb=1750.0, token_bytes=1836000, kinds=(),
        ...     slots=96, step_ms=1.0)
        >>> round(profile.capacity_units(72000.0, 30))
        849673
        """
        free_mb = memory_mb - layers * self.layer_mb
        return max(0.0, free_mb * 1e6 / self.unit_bytes)
