"""Declared sizes and speeds of the engines that run a service."""

import msgspec


class AcceleratorKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of accelerator.

    ``memory_mb`` is in units of 10**6 bytes. ``step_factor`` multiplies the
    duration of decoding steps, ``read_factor`` that of prompt processing.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    read_factor: float = 1.0


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and durations of the engines of one service.

    Names carry the unit, where ``mb`` stands for 10**6 bytes. The ``step``
    fields describe one decoding step over all layers, the ``read`` fields
    the processing of prompts, whose attention cost grows with the number
    of token pairs. ``token_bytes`` is the cache memory of one token in all
    layers, ``slots`` the number of requests that a target runs at once, and
    ``load_seconds`` the time to load all layers. ``inter_zone_mbps`` is the
    bandwidth of the link between zones that all chains share, in 10**6 bits a
    second, 0 if none is declared.
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
    inter_zone_mbps: float = 0.0

    @property
    def unit_bytes(self):
        """Bytes of cache memory that one token takes up in one layer."""
        return self.token_bytes / self.layers

    def kind(self, name):
        """Return the `AcceleratorKind` with a name, or None."""
        for kind in self.kinds:
            if kind.name == name:
                return kind
        return None

    def capacity_units(self, memory_mb, layers):
        """Return how many units (tokens times layers) fit in memory.

        The memory that the weights of the layers take up is subtracted.

        Parameters
        ----------
        memory_mb : float
            Memory of the target in 10**6 bytes.
        layers : int
            Number of layers that the target holds.

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
